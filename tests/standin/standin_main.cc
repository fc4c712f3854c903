// Entry point of the stand-ins. The first argument selects the role.

#include <cstring>
#include <exception>
#include <iostream>
#include <utility>

#include "tests/standin/standin_support.h"

namespace {

struct RoleRow {
  const char* name;
  int (*run)(int argc, char** argv);
};

constexpr RoleRow kRoles[] = {
    {"fabric", cactuscross::standin::RunFabric},
    {"platform", cactuscross::standin::RunPlatform},
    {"server", cactuscross::standin::RunServer},
    {"load", cactuscross::standin::RunLoad},
};

}  // namespace

int main(int argc, char** argv) {
  for (const RoleRow& role : kRoles) {
    if (argc < 2 || std::strcmp(argv[1], role.name) != 0) {
      continue;
    }
    cactuscross::standin::BlockStopSignals();
    try {
      return role.run(argc - 1, argv + 1);
    } catch (const std::exception& error) {
      std::cerr << role.name << ": " << error.what() << "\n";
      return 1;
    }
  }
  std::cerr
      << "usage: cactuscross_standin fabric|platform|server|load --help\n";
  return 2;
}
