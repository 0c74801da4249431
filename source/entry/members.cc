#include "entry/members.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"

namespace almondtally {
namespace {

const char* const kEntryPrefix = "entry/";
/// A row that has not changed for this long is of a dead entry.
constexpr Duration kEntryLost{8'000};

std::string OwnKey(const EntryContext& context) {
  return kEntryPrefix + context.settings.id.value;
}

void TakePeerRow(EntryContext& context, const Row& row) {
  const nlohmann::json in = nlohmann::json::parse(row.value, nullptr, false);
  if (!in.is_object()) return;
  const auto address = ParseAddress(in.value("address", ""));
  if (!address) return;
  const EntryId id(row.key.substr(std::string(kEntryPrefix).size()));
  if (id == context.settings.id) return;
  const auto [it, is_new] = context.peers.try_emplace(id);
  EntryPeer& peer = it->second;
  if (!is_new && peer.row == row.version) return;
  const bool joins = is_new || peer.lost;
  peer = {id, *address, row.version, context.loop.now(), false};
  if (joins) {
    Log(Event::kEntryJoined,
        {{"entry", id.value}, {"address", ToString(*address)}});
  }
}

/// Removes the row of a lost entry, unless it has written it again.
void DeleteRow(EntryContext& context, const EntryPeer& peer) {
  const std::string key = kEntryPrefix + peer.id.value;
  Transaction transaction;
  transaction.checks = {{key, peer.row}};
  transaction.deletes = {key};
  context.table.commit(transaction, [](const auto&, const auto&) {});
}

/// A lost entry is kept as such for as long as its row is there: forgotten, its
/// old row would make it look new.
void MarkLost(EntryContext& context) {
  for (auto& [id, peer] : context.peers) {
    const Duration silent = context.loop.now() - peer.changed_at;
    if (peer.lost || silent <= kEntryLost) continue;
    peer.lost = true;
    DeleteRow(context, peer);
    Log(Event::kEntryLost, {{"entry", id.value}});
  }
}

}  // namespace

void WriteOwnRow(EntryContext& context) {
  const nlohmann::json value = {
      {"address", ToString(context.settings.advertise)},
      {"data_centre", context.settings.data_centre},
      {"config", context.config.config().version}};
  Transaction transaction;
  transaction.puts = {{OwnKey(context), value.dump()}};
  context.table.commit(transaction, [](const auto&, const auto&) {});
}

void ReadPeers(EntryContext& context) {
  context.table.scan(kEntryPrefix, [&context](const auto& rows, const auto&) {
    // Without an answer the others are taken to be as they were.
    if (!rows) {
      for (auto& [id, peer] : context.peers) {
        peer.changed_at =
            std::max(peer.changed_at, context.loop.now() - kEntryLost / 2);
      }
      return;
    }
    std::set<EntryId> seen;
    for (const Row& row : *rows) {
      seen.emplace(row.key.substr(std::string(kEntryPrefix).size()));
      TakePeerRow(context, row);
    }
    std::erase_if(context.peers,
                  [&](const auto& it) { return !seen.contains(it.first); });
    MarkLost(context);
  });
}

void DeleteOwnRow(EntryContext& context) {
  Transaction transaction;
  transaction.deletes = {OwnKey(context)};
  context.table.commit(transaction, [](const auto&, const auto&) {});
}

std::vector<EntryPeer> LiveEntries(const EntryContext& context) {
  std::vector<EntryPeer> all;
  all.push_back(
      {context.settings.id, context.settings.advertise, {}, {}, false});
  for (const auto& [id, peer] : context.peers) {
    if (!peer.lost) all.push_back(peer);
  }
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return all;
}

EntryId OwnerOf(const EntryContext& context, const TeamId& team) {
  EntryId best;
  uint64_t best_hash = 0;
  for (const EntryPeer& entry : LiveEntries(context)) {
    const uint64_t hash = StableHash(entry.id.value + "|" + team.value);
    if (!best.empty() && hash <= best_hash) continue;
    best = entry.id;
    best_hash = hash;
  }
  return best;
}

bool IsOwned(const EntryContext& context, const TeamId& team) {
  return !context.draining && OwnerOf(context, team) == context.settings.id;
}

std::set<TeamId> OwnedTeams(const EntryContext& context) {
  std::set<TeamId> teams;
  for (const auto& [key, object] : context.config.config().objects) {
    if (key.kind != ConfigKind::kTeam) continue;
    const TeamId team(key.name);
    if (IsOwned(context, team)) teams.insert(team);
  }
  return teams;
}

}  // namespace almondtally
