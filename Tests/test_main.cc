// Entry point of all test programs: quiet logs, doctest's own options.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "LibBase/log.h"

int main(int argc, char** argv) {
  base::DisableLog();
  base::FlushLogAndExit(doctest::Context(argc, argv).run());
}
