#include "src/core/agent/request_table.h"

namespace cactuscross {

Request& RequestTable::Add(CallId id, const Origin& origin) {
  auto request = std::make_unique<Request>();
  request->id = id;
  request->origin = origin;
  Request& added = *request;
  this->by_exchange[MakeExchangeKey(origin)] = id;
  this->requests.emplace(id, std::move(request));
  this->queue.push_back(added);
  return added;
}

Request* RequestTable::Find(CallId id) {
  const auto found = this->requests.find(id);
  return found == this->requests.end() ? nullptr : found->second.get();
}

Request* RequestTable::Find(const ExchangeKey& key) {
  const auto found = this->by_exchange.find(key);
  return found == this->by_exchange.end() ? nullptr : this->Find(found->second);
}

Request& RequestTable::PopQueued() {
  Request& request = this->queue.front();
  this->queue.pop_front();
  request.state = RequestState::kDispatched;
  return request;
}

Request* RequestTable::OldestQueued() {
  return this->queue.empty() ? nullptr : &this->queue.front();
}

void RequestTable::Erase(Request& request) {
  const auto exchange = this->by_exchange.find(MakeExchangeKey(request.origin));
  if (exchange != this->by_exchange.end() && exchange->second == request.id) {
    this->by_exchange.erase(exchange);
  }
  if (request.is_linked()) {
    this->queue.erase(Queue::s_iterator_to(request));
  }
  this->requests.erase(request.id);
}

}  // namespace cactuscross
