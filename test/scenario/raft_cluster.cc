#include "raft_cluster.h"

#include <cstdlib>
#include <cstring>
#include <filesystem>

extern "C" {
#include "base/error.h"
}

static void
spend_syncs(RaftNode *node, int count)
{
	fakenet_t *net = node->cluster->net;
	int64_t now_ms = fakenet_now_ms(net);

	if (node->sync_ms == 0)
		return;
	if (node->busy_until_ms < now_ms)
		node->busy_until_ms = now_ms;
	node->busy_until_ms += count * node->sync_ms;
	fakenet_block(net, node->id, node->busy_until_ms - now_ms);
}

static int
disk_append(void *ctx, const raft_entry_t *entries, size_t count)
{
	RaftDisk *disk = &((RaftNode *)ctx)->disk;

	spend_syncs((RaftNode *)ctx, 1);
	for (size_t i = 0; i < count; i++)
		disk->entries[entries[i].index] = { entries[i].term,
			entries[i].kind,
			std::string(
			    (const char *)entries[i].data, entries[i].len) };
	return (TM_OK);
}

static int
disk_truncate(void *ctx, uint64_t from)
{
	RaftDisk *disk = &((RaftNode *)ctx)->disk;

	disk->entries.erase(
	    disk->entries.lower_bound(from), disk->entries.end());
	return (TM_OK);
}

static int
disk_save_vote(void *ctx, uint64_t term, node_id_t vote)
{
	RaftDisk *disk = &((RaftNode *)ctx)->disk;

	/* Of the file and of its folder. */
	spend_syncs((RaftNode *)ctx, 2);
	if (term == disk->term && disk->vote != NODE_ID_NONE &&
	    disk->vote != vote)
		((RaftNode *)ctx)->cluster->violate("a vote was changed");
	disk->term = term;
	disk->vote = vote;
	return (TM_OK);
}

static int
disk_save_snapshot(void *ctx, const raft_snapshot_t *snapshot)
{
	RaftDisk *disk = &((RaftNode *)ctx)->disk;

	disk->snapshot_data.assign((const char *)snapshot->data, snapshot->len);
	disk->snapshot = *snapshot;
	disk->snapshot.data = nullptr;
	disk->entries.erase(
	    disk->entries.begin(), disk->entries.upper_bound(snapshot->index));
	return (TM_OK);
}

static void
node_apply(void *ctx, uint64_t index, const uint8_t *data, size_t len)
{
	RaftNode *node = (RaftNode *)ctx;
	std::string text((const char *)data, len);

	node->state[index] = text;
	node->cluster->record_commit(node, index, text);
}

static int
node_take_snapshot(void *ctx, uint8_t **data, size_t *len)
{
	RaftNode *node = (RaftNode *)ctx;
	std::string out;

	for (auto &item : node->state)
		out += std::to_string(item.first) + " " + item.second + "\n";
	*len = out.size();
	*data = (uint8_t *)malloc(out.size() + 1);
	memcpy(*data, out.data(), out.size());
	return (TM_OK);
}

static int
node_install_snapshot(
    void *ctx, uint64_t index, const uint8_t *data, size_t len)
{
	RaftNode *node = (RaftNode *)ctx;
	std::string in((const char *)data, len);
	size_t at = 0;

	node->state.clear();
	while (at < in.size()) {
		size_t blank = in.find(' ', at);
		size_t end = in.find('\n', blank);
		uint64_t key = std::stoull(in.substr(at, blank - at));

		node->state[key] = in.substr(blank + 1, end - blank - 1);
		node->cluster->record_commit(node, key, node->state[key]);
		at = end + 1;
	}
	return (TM_OK);
}

static void
node_receive(void *ctx, node_id_t from, uint16_t type, const uint8_t *payload,
    size_t len, int64_t now_ms)
{
	raft_handle(((RaftNode *)ctx)->raft, from, type, payload, len, now_ms);
}

static void
node_tick(void *ctx, int64_t now_ms)
{
	RaftNode *node = (RaftNode *)ctx;

	raft_tick(node->raft, now_ms);
	node->cluster->check();
}

RaftCluster::RaftCluster(const std::vector<std::string> &names,
    uint64_t cluster_seed, uint32_t test_switches, bool forming,
    const std::string &path)
    : seed(cluster_seed), switches(test_switches), data_path(path)
{
	net = fakenet_create(seed, 10, 1, 3);
	for (auto &name : names) {
		auto node = std::make_unique<RaftNode>();
		node->cluster = this;
		node->name = name;
		node->id = node_id_from_name(name.c_str());
		node->disk.disk_id = next_disk++;
		initial.push_back({ node->id,
		    forming ? RAFT_DISK_NONE : node->disk.disk_id });
		nodes.push_back(std::move(node));
	}
	for (auto &node : nodes)
		start(node.get());
}

RaftCluster::~RaftCluster()
{
	for (auto &node : nodes) {
		raft_destroy(node->raft);
		store_close(node->store);
	}
	fakenet_destroy(net);
}

RaftNode *
RaftCluster::find(const std::string &name)
{
	for (auto &node : nodes) {
		if (node->name == name)
			return (node.get());
	}
	return (nullptr);
}

RaftNode *
RaftCluster::leader()
{
	for (auto &node : nodes) {
		if (node->raft != nullptr && !node->frozen &&
		    raft_has_quorum_contact(node->raft, fakenet_now_ms(net)))
			return (node.get());
	}
	return (nullptr);
}

void
RaftCluster::run(int64_t ms)
{
	fakenet_run(net, ms);
}

int
RaftCluster::open_store(RaftNode *node, raft_options_t *options)
{
	std::string folder = data_path + "/" + node->name;
	store_options_t store = { folder.c_str(), 0, node->faults, 0 };
	int err = store_open(&node->store, &store);

	if (err != TM_OK)
		return (err);
	options->disk_id = store_get_disk_id(node->store);
	options->restore = *store_get_restore(node->store);
	options->storage = store_get_storage(node->store);
	return (TM_OK);
}

int
RaftCluster::start(RaftNode *node)
{
	std::vector<raft_entry_t> entries;
	raft_options_t options = {};
	int err = TM_OK;

	for (auto &item : node->disk.entries)
		entries.push_back({ item.first, item.second.term,
		    item.second.kind, (const uint8_t *)item.second.data.data(),
		    item.second.data.size() });
	node->state.clear();
	node->frozen = false;
	options.self = node->id;
	options.disk_id = node->disk.disk_id;
	for (auto &voter : initial)
		options.voters[options.voter_count++] = voter;
	options.seed = seed * 31 + node->id + (uint64_t)fakenet_now_ms(net);
	options.test_switches = switches;
	options.restore.term = node->disk.term;
	options.restore.vote = node->disk.vote;
	options.restore.snapshot = node->disk.snapshot;
	options.restore.snapshot.data =
	    (const uint8_t *)node->disk.snapshot_data.data();
	options.restore.entries = entries.data();
	options.restore.entry_count = entries.size();
	options.storage = { disk_append, disk_truncate, disk_save_vote,
		disk_save_snapshot, node };
	if (!data_path.empty())
		err = open_store(node, &options);
	options.send = fakenet_send;
	options.send_ctx =
	    fakenet_add(net, node->id, node, node_receive, node_tick);
	options.apply = node_apply;
	options.take_snapshot = node_take_snapshot;
	options.install_snapshot = node_install_snapshot;
	options.ctx = node;
	if (err == TM_OK)
		err = raft_create(&node->raft, &options, fakenet_now_ms(net));
	if (err != TM_OK && node->faults == nullptr)
		abort();
	if (err != TM_OK)
		kill(node);
	return (err);
}

void
RaftCluster::kill(RaftNode *node)
{
	fakenet_kill(net, node->id);
	raft_destroy(node->raft);
	node->raft = nullptr;
	store_close(node->store);
	node->store = nullptr;
}

void
RaftCluster::wipe(RaftNode *node)
{
	node->disk = RaftDisk();
	node->disk.disk_id = next_disk++;
	node->wiped = true;
	if (!data_path.empty())
		std::filesystem::remove_all(data_path + "/" + node->name);
	start(node);
}

void
RaftCluster::freeze(RaftNode *node, bool frozen)
{
	node->frozen = frozen;
	fakenet_set_frozen(net, node->id, frozen);
}

void
RaftCluster::cut(RaftNode *from, RaftNode *to, bool is_cut)
{
	fakenet_set_cut(net, from->id, to->id, is_cut);
}

void
RaftCluster::isolate(RaftNode *node, bool is_cut)
{
	for (auto &other : nodes) {
		cut(node, other.get(), is_cut);
		cut(other.get(), node, is_cut);
	}
}

int
RaftCluster::propose(RaftNode *node, const std::string &text)
{
	uint64_t index;

	return (raft_propose(
	    node->raft, (const uint8_t *)text.data(), text.size(), &index));
}

static void
node_begin_epoch(void *ctx, uint64_t epoch, uint64_t index)
{
}

int
RaftCluster::recover(RaftNode *node, int *lost)
{
	int err =
	    raft_recover(node->raft, 1, node_begin_epoch, fakenet_now_ms(net));

	*lost = 0;
	if (err == TM_OK)
		epoch = raft_epoch_of(raft_get_commit(node->raft));
	for (auto at = committed.begin();
	     err == TM_OK && at != committed.end();) {
		bool kept = node->state.count(at->first) != 0;
		*lost += !kept;
		at = kept ? std::next(at) : committed.erase(at);
	}
	return (err);
}

int
RaftCluster::count_repairing()
{
	int count = 0;

	for (auto &node : nodes) {
		if (node->raft != nullptr && raft_is_voter(node->raft))
			node->wiped = false;
		count += node->wiped;
	}
	return (count);
}

void
RaftCluster::record_commit(RaftNode *node, uint64_t index, std::string text)
{
	auto found = committed.find(index);

	/* What an older epoch accepts beside the recovered one is lost. */
	if (found == committed.end() && raft_epoch_of(index) < epoch)
		return;
	if (found == committed.end())
		committed[index] = text;
	else if (found->second != text)
		violate("entry " + std::to_string(index) + " was \"" +
		    found->second + "\" and is \"" + text + "\" on " +
		    node->name);
}

void
RaftCluster::violate(const std::string &what)
{
	if (violations.empty() || violations.back() != what)
		violations.push_back(what);
}

void
RaftCluster::check()
{
	std::map<uint64_t, int> in_contact; /* by epoch */

	for (auto &node : nodes) {
		if (node->raft == nullptr || !raft_is_leader(node->raft))
			continue;
		uint64_t term = raft_get_term(node->raft);
		auto &first = leaders.emplace(term, node->name).first->second;
		if (first != node->name)
			violate("two leaders in term " + std::to_string(term));
		int &count = in_contact[raft_epoch_of(term)];
		count += !node->frozen &&
		    raft_has_quorum_contact(node->raft, fakenet_now_ms(net));
		if (count > 1)
			violate("two leaders have contact to a majority");
	}
}

void
RaftCluster::check_converged()
{
	for (auto &node : nodes) {
		if (node->raft == nullptr)
			violate(node->name + " is down");
		else if (node->state.size() > committed.size())
			violate(node->name + " holds more than was committed");
		for (auto &item : committed) {
			if (node->state.count(item.first) == 0)
				violate(node->name + " lacks committed entry " +
				    std::to_string(item.first) + " \"" +
				    item.second + "\"");
		}
	}
}
