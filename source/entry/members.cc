#include "entry/members.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "base/untrusted_json.h"

namespace almondtally {
namespace {

const char* const kEntryPrefix = "entry/";
/// An entry whose row has not changed for this long is considered lost.
constexpr Duration kEntryTimeout{8'000};

std::string OwnRowKey(const EntryContext& context) {
  return kEntryPrefix + context.settings.id.value;
}

/// @return empty if the row has no valid address.
std::optional<Address> DecodeAddress(const Row& row) {
  const nlohmann::json parsed = ParseJson(row.value);
  if (!parsed.is_object()) return std::nullopt;
  const auto it = parsed.find("address");
  if (it == parsed.end() || !it->is_string()) return std::nullopt;
  return ParseAddress(it->get<std::string>());
}

void ApplyPeerRow(EntryContext& context, const Row& row) {
  const auto address = DecodeAddress(row);
  if (!address) {
    Log(Event::kRowUnreadable, {{"row", row.key}});
    return;
  }
  const EntryId id(row.key.substr(std::string(kEntryPrefix).size()));
  if (id == context.settings.id) return;
  const auto [it, is_new] = context.peers.try_emplace(id);
  EntryPeer& peer = it->second;
  if (!is_new && peer.row == row.version) return;
  const bool has_joined = is_new || peer.lost;
  peer = {id, *address, row.version, context.loop.now(), false};
  if (has_joined) {
    Log(Event::kEntryJoined,
        {{"entry", id.value}, {"address", ToString(*address)}});
  }
}

/// Deletes a lost entry's row, unless the entry has written it again.
void DeletePeerRow(EntryContext& context, const EntryPeer& peer) {
  const std::string key = kEntryPrefix + peer.id.value;
  Transaction transaction;
  transaction.checks = {{key, peer.row}};
  transaction.deletes = {key};
  context.table.commit(transaction, [](const auto&, const auto&) {});
}

/// Marks entries with a stale row as lost. A lost entry is kept for as long as
/// its row exists; otherwise the stale row would make it look newly joined.
void MarkLost(EntryContext& context) {
  for (auto& [id, peer] : context.peers) {
    const Duration silent = context.loop.now() - peer.changed_at;
    if (peer.lost || silent <= kEntryTimeout) continue;
    peer.lost = true;
    DeletePeerRow(context, peer);
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
  transaction.puts = {{OwnRowKey(context), value.dump()}};
  context.table.commit(transaction, [](const auto&, const auto&) {});
}

void ReadPeers(EntryContext& context) {
  context.table.scan(kEntryPrefix, [&context](const auto& rows, const auto&) {
    // While the table cannot be read, peers are not declared lost.
    if (!rows) {
      for (auto& [id, peer] : context.peers) {
        peer.changed_at =
            std::max(peer.changed_at, context.loop.now() - kEntryTimeout / 2);
      }
      return;
    }
    std::set<EntryId> seen;
    for (const Row& row : *rows) {
      seen.emplace(row.key.substr(std::string(kEntryPrefix).size()));
      ApplyPeerRow(context, row);
    }
    std::erase_if(context.peers,
                  [&](const auto& it) { return !seen.contains(it.first); });
    MarkLost(context);
  });
}

void DeleteOwnRow(EntryContext& context) {
  Transaction transaction;
  transaction.deletes = {OwnRowKey(context)};
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
