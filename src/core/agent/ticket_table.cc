#include "src/core/agent/ticket_table.h"

#include <iterator>

namespace cactuscross {

IssueKey MakeIssueKey(const Endpoint& caller, const CoapMessage& request) {
  if (request.block1) {
    return {caller, true, request.request_tag.value_or(Bytes{}), 0,
            request.uri_path};
  }
  return {caller, false, request.token, request.message_id, request.uri_path};
}

TicketRecord& TicketTable::Issue(TimePoint now, const IssueKey& key) {
  const std::uint32_t sequence = ++this->last_sequence;
  TicketRecord& record = this->records[sequence];
  record.sequence = sequence;
  record.issued_to = key;
  record.issued_at = now;
  record.expiry = now + kTicketLifetime;
  this->by_issue[key] = sequence;
  this->by_expiry.insert({record.expiry, sequence});
  this->unused.insert({now, sequence});
  ++this->open;
  return record;
}

TicketRecord* TicketTable::Find(std::uint32_t sequence) {
  const auto found = this->records.find(sequence);
  return found == this->records.end() ? nullptr : &found->second;
}

TicketRecord* TicketTable::FindIssued(const IssueKey& key) {
  const auto found = this->by_issue.find(key);
  return found == this->by_issue.end() ? nullptr : this->Find(found->second);
}

void TicketTable::SetState(TicketRecord& record,
                           TicketState state,
                           TimePoint expiry) {
  this->open -= IsOpen(record.state) ? 1 : 0;
  this->open += IsOpen(state) ? 1 : 0;
  if (record.state == TicketState::kIssued) {
    this->unused.erase({record.issued_at, record.sequence});
  }
  this->by_expiry.erase({record.expiry, record.sequence});
  record.state = state;
  record.expiry = expiry;
  this->by_expiry.insert({expiry, record.sequence});
}

void TicketTable::Expire(TimePoint now) {
  while (!this->by_expiry.empty() && this->by_expiry.begin()->first <= now) {
    const std::uint32_t sequence = this->by_expiry.begin()->second;
    TicketRecord& record = this->records.at(sequence);
    if (record.state == TicketState::kAdmitted) {
      // The request has its own deadline. Keep the record and check it again
      // later.
      this->SetState(record, record.state, now + kTicketLifetime);
      continue;
    }
    this->DropBody(record);
    this->SetState(record, TicketState::kInvalidated, record.expiry);
    const auto issue = this->by_issue.find(record.issued_to);
    if (issue != this->by_issue.end() && issue->second == sequence) {
      this->by_issue.erase(issue);
    }
    this->by_expiry.erase({record.expiry, sequence});
    this->records.erase(sequence);
  }
}

std::size_t TicketTable::IssuedSince(TimePoint now, Duration age) const {
  const auto first = this->unused.lower_bound({now - age, 0});
  return static_cast<std::size_t>(std::distance(first, this->unused.end()));
}

void TicketTable::AppendBody(TicketRecord& record, ByteView bytes) {
  record.body.insert(record.body.end(), bytes.begin(), bytes.end());
  this->receiving_bytes += bytes.size();
}

void TicketTable::DropBody(TicketRecord& record) {
  this->receiving_bytes -= record.body.size();
  Bytes().swap(record.body);
}

}  // namespace cactuscross
