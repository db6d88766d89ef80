// The entry point of all test programs. Turns logging off and passes the
// arguments to doctest.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "LibBase/log.h"

int main(int argc, char** argv) {
  base::DisableLog();
  base::FlushLogAndExit(doctest::Context(argc, argv).run());
}
