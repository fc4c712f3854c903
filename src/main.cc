// Entry point of the program `cactuscross`; see src/cli/cli.h.

#include "src/cli/cli.h"

int main(int argc, char** argv) {
  return cactuscross::RunCli(argc, argv);
}
