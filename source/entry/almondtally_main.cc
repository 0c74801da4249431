#include <cstdio>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "entry/serve.h"
#include "platform/mains.h"

namespace {

int PrintHelp(std::FILE* out) {
  std::fprintf(out, "usage: almondtally COMMAND [OPTIONS]\n\n%s\n",
               almondtally::CommandHelp().c_str());
  std::fprintf(out, "Run 'almondtally COMMAND --help' for details.\n");
  return out == stdout ? almondtally::exit_code::kOk
                       : almondtally::exit_code::kUsage;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  if (words.empty()) return PrintHelp(stderr);
  if (words[0] == "--help" || words[0] == "-h") return PrintHelp(stdout);
  const std::vector<std::string> args(words.begin() + 1, words.end());
  if (words[0] == "serve") return almondtally::Serve(args);
  if (words[0] == "schedule") return almondtally::platform::RunEntry(args);
  const int code = almondtally::RunCommand(words[0], args);
  if (code >= 0) return code;
  std::fprintf(stderr, "almondtally: no command \"%s\"\n\n", words[0].c_str());
  return PrintHelp(stderr);
}
