#include "src/cli/http_get.h"

#include <chrono>
#include <future>
#include <memory>

#include <pistache/client.h>
#include <pistache/http.h>

namespace cactuscross {
namespace {

constexpr std::chrono::seconds kRequestTimeout{5};
// Bounds the wait for Pistache. Longer than kRequestTimeout, so that Pistache
// normally reports the timeout itself.
constexpr std::chrono::seconds kMaxWaitTime{6};

using HttpClient = Pistache::Http::Experimental::Client;
using HttpOutcome = tl::expected<std::string, std::string>;

// Shared with callbacks that may run after Get() has stopped waiting.
using SharedPromise = std::shared_ptr<std::promise<HttpOutcome>>;

void SetResponse(const SharedPromise& promise,
                 const Pistache::Http::Response& response) {
  if (response.code() == Pistache::Http::Code::Ok) {
    promise->set_value(response.body());
    return;
  }
  promise->set_value(tl::unexpected(
      "HTTP status " + std::to_string(static_cast<int>(response.code()))));
}

void SetFailure(const SharedPromise& promise, const std::exception_ptr& cause) {
  std::string text = "no response";
  try {
    std::rethrow_exception(cause);
  } catch (const std::exception& exception) {
    text = exception.what();
  } catch (...) {
    // Pistache also rejects with types that do not derive from std::exception.
  }
  promise->set_value(tl::unexpected(text));
}

// Returns the only HTTP client of this process. It is never shut down: Pistache
// 0.0.5 rejects a request before it has released the request's socket, and a
// shutdown in between terminates the process.
HttpClient& GetClient() {
  static HttpClient* const client = [] {
    auto* created = new HttpClient;
    created->init(HttpClient::options().threads(1));
    return created;
  }();
  return *client;
}

HttpOutcome Get(HttpClient& client, const std::string& url) {
  const auto promise = std::make_shared<std::promise<HttpOutcome>>();
  std::future<HttpOutcome> future = promise->get_future();
  auto response = client.get(url).timeout(kRequestTimeout).send();
  response.then(
      [promise](const Pistache::Http::Response& answer) {
        SetResponse(promise, answer);
      },
      [promise](const std::exception_ptr& cause) {
        SetFailure(promise, cause);
      });
  if (future.wait_for(kMaxWaitTime) != std::future_status::ready) {
    return tl::unexpected(std::string("no response in time"));
  }
  return future.get();
}

}  // namespace

tl::expected<std::string, Error> HttpGet(const Endpoint& endpoint,
                                         const std::string& path) {
  const HttpOutcome outcome = Get(GetClient(), ToString(endpoint) + path);
  if (!outcome) {
    return tl::unexpected(
        Error{ResultCode::kPeerUnreachable,
              ToString(endpoint) + path + ": " + outcome.error(), "", 0});
  }
  return *outcome;
}

}  // namespace cactuscross
