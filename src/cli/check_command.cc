#include <map>

#include "src/cli/command.h"
#include "src/cli/errors_page.h"
#include "src/config/contract_parser.h"
#include "src/config/field_description.h"
#include "src/config/file_kind.h"
#include "src/config/file_reader.h"
#include "src/config/settings_parser.h"

namespace cactuscross {
namespace {

namespace po = boost::program_options;

constexpr char kDescription[] =
    "Checks settings and contracts, and prints for each file whether it is "
    "valid.\n"
    "Lists all errors, each with its number (docs/ERRORS.md), file, line and "
    "what to\n"
    "write instead. No process is started.\n\n"
    "The kind of a file is detected from its keys: a file with 'store' holds "
    "the\n"
    "settings of a flow balancer; with 'outbound', of a flow agent; with "
    "'customer'\n"
    "or 'services', a contract; with 'service' or 'server', the settings of "
    "an\n"
    "agent; with any other known key, the settings of a balancer. Several "
    "files are\n"
    "also checked against each other.";

void AddOptions(CommandOptions& options) {
  options.add_options()("kind", po::value<std::string>(),
                        "kind of the files: contract, balancer, agent, "
                        "flow-balancer or flow-agent");
  options.add_options()("fields",
                        "print every key of settings and contracts, with type, "
                        "bounds, unit and default");
  options.add_options()(
      "fields-markdown",
      "print the same as the Markdown tables of docs/OPERATIONS.md");
  options.add_options()(
      "errors-markdown",
      "print the page docs/ERRORS.md from the table of result codes");
}

// Finds values that are repeated although they must be unique across all files
// of one invocation.
class CrossCheck {
 public:
  void AddContract(const std::string& file, const Contract& contract) {
    this->Add(ResultCode::kDuplicateCustomer, "customer", contract.customer,
              file);
    for (const ContractService& service : contract.services) {
      for (const Endpoint& address : service.addresses) {
        this->Add(ResultCode::kDuplicateAddress, "service address",
                  ToString(address), file);
      }
      for (const ContractServer& server : service.servers) {
        this->Add(ResultCode::kDuplicateNode, "server node",
                  std::to_string(ToNumber(server.node)), file);
      }
    }
  }

  void AddSettings(const std::string& file, const NodeSettings& settings) {
    this->Add(ResultCode::kDuplicateNode, "process node",
              std::to_string(ToNumber(settings.node)), file);
    this->Add(ResultCode::kDuplicateAddress, "process address",
              ToString(settings.listen), file);
    this->Add(ResultCode::kDuplicateAddress, "process address",
              ToString(settings.operations), file);
  }

  // Moves out the errors found since the last call.
  std::vector<Error> TakeErrors() { return std::exchange(this->errors, {}); }

 private:
  void Add(ResultCode code,
           const std::string& scope,
           const std::string& value,
           const std::string& file) {
    const auto [existing, inserted] =
        this->seen.try_emplace({scope, value}, file);
    if (!inserted) {
      this->errors.push_back(Error{
          code, scope + " " + value + " is already in " + existing->second,
          file, 1});
    }
  }

  std::map<std::pair<std::string, std::string>, std::string> seen;
  std::vector<Error> errors;
};

// Checks the text of a file of a known kind and returns its errors.
using KindCheck = std::vector<Error> (*)(const std::string& file,
                                         const std::string& text,
                                         CrossCheck& cross_check);

std::vector<Error> CheckContract(const std::string& file,
                                 const std::string& text,
                                 CrossCheck& cross_check) {
  auto contract = ParseContract("", text);
  if (contract) {
    cross_check.AddContract(file, *contract);
    return cross_check.TakeErrors();
  }
  for (Error& error : contract.error()) {
    error.file = file;
  }
  return contract.error();
}

template <typename Settings>
std::vector<Error> CheckSettings(
    const tl::expected<Settings, std::vector<Error>>& settings,
    const std::string& file,
    CrossCheck& cross_check) {
  if (!settings) {
    return settings.error();
  }
  cross_check.AddSettings(file, settings->node);
  return cross_check.TakeErrors();
}

std::vector<Error> CheckBalancer(const std::string& file,
                                 const std::string& text,
                                 CrossCheck& cross_check) {
  return CheckSettings(ParseBalancerSettings(text, file), file, cross_check);
}

std::vector<Error> CheckAgent(const std::string& file,
                              const std::string& text,
                              CrossCheck& cross_check) {
  return CheckSettings(ParseAgentSettings(text, file), file, cross_check);
}

template <typename Settings>
std::vector<Error> ErrorsOf(
    const tl::expected<Settings, std::vector<Error>>& settings) {
  return settings ? std::vector<Error>() : settings.error();
}

std::vector<Error> CheckFlowBalancer(const std::string& file,
                                     const std::string& text,
                                     CrossCheck& /*cross_check*/) {
  return ErrorsOf(ParseFlowBalancerSettings(text, file));
}

std::vector<Error> CheckFlowAgent(const std::string& file,
                                  const std::string& text,
                                  CrossCheck& /*cross_check*/) {
  return ErrorsOf(ParseFlowAgentSettings(text, file));
}

KindCheck GetKindCheck(FileKind kind) {
  switch (kind) {
    case FileKind::kContract:
      return &CheckContract;
    case FileKind::kBalancer:
      return &CheckBalancer;
    case FileKind::kAgent:
      return &CheckAgent;
    case FileKind::kFlowBalancer:
      return &CheckFlowBalancer;
    case FileKind::kFlowAgent:
      return &CheckFlowAgent;
  }
  return nullptr;
}

// Checks one file and prints the result. Returns the number of errors.
std::size_t CheckFile(const std::string& file,
                      std::optional<FileKind> kind,
                      CrossCheck& cross_check,
                      const CliStreams& streams) {
  std::vector<Error> errors;
  const auto text = ReadFile(file);
  if (!text) {
    errors.push_back(text.error());
  } else if (const auto detected = DetectFileKind(*text); kind || detected) {
    kind = kind ? kind : *detected;
    errors = GetKindCheck(*kind)(file, *text, cross_check);
  } else {
    errors.push_back(detected.error());
    errors.back().file = file;
  }
  for (const Error& error : errors) {
    Fail(streams, error, kExitInvalidInput);
  }
  if (errors.empty()) {
    streams.out << file << ": ok (" << NameOf(*kind) << ")\n";
  }
  return errors.size();
}

int CheckFiles(const std::vector<std::string>& files,
               std::optional<FileKind> kind,
               const CliStreams& streams) {
  CrossCheck cross_check;
  std::size_t errors = 0;
  for (const std::string& file : files) {
    errors += CheckFile(file, kind, cross_check, streams);
  }
  if (errors > 0) {
    streams.err << errors << (errors == 1 ? " error\n" : " errors\n");
    return kExitInvalidInput;
  }
  return kExitDone;
}

// Pages that are printed by an option instead of checking files.
struct PageRow {
  const char* option;
  std::string (*format)();
};

constexpr std::array kPages = {
    PageRow{"fields", &FormatFieldsAsText},
    PageRow{"fields-markdown", &FormatFieldsAsMarkdown},
    PageRow{"errors-markdown", &FormatErrorsAsMarkdown}};

int Run(const CommandValues& values, const CliStreams& streams) {
  for (const PageRow& page : kPages) {
    if (values.count(page.option) > 0) {
      streams.out << page.format();
      return kExitDone;
    }
  }
  const std::vector<std::string> files = GetOperands(values);
  if (files.empty()) {
    return Fail(
        streams,
        Error{ResultCode::kBadCommandLine,
              "no file to check; name at least one, or use --fields", "", 0},
        kExitInvalidInput);
  }
  std::optional<FileKind> kind;
  if (values.count("kind") > 0) {
    kind = FindFileKind(values["kind"].as<std::string>());
    if (!kind) {
      return Fail(streams,
                  Error{ResultCode::kBadCommandLine,
                        "--kind: write contract, balancer, agent, "
                        "flow-balancer or flow-agent",
                        "", 0},
                  kExitInvalidInput);
    }
  }
  return CheckFiles(files, kind, streams);
}

}  // namespace

const Command kCheckCommand = {
    "check",      "FILE...",   -1,  "check settings and contracts",
    kDescription, &AddOptions, &Run};

}  // namespace cactuscross
