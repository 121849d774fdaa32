// Entry VMs with the gossip module and control VMs with the feed on the
// in-memory network. The replicated log is replaced by a counter: an entry is
// applied on all control VMs. Log indexes have gaps, as they do when the log
// holds entries that are no configuration.
#ifndef TM_TEST_GOSSIP_WORLD_H
#define TM_TEST_GOSSIP_WORLD_H

#include <cstring>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/error.h"
#include "base/rng.h"
#include "config/config_state.h"
#include "control/feed.h"
#include "gossip/feed_msgs.h"
#include "gossip/gossip.h"
}

#include "fakenet.h"

// Builds the entries that tests need.
struct EntryBuilder {
	static std::vector<uint8_t>
	Encode(Feed__Entry &entry)
	{
		size_t len;
		uint8_t *bytes = config_entry_encode(&entry, &len);
		std::vector<uint8_t> out(bytes, bytes + len);

		free(bytes);
		return out;
	}

	static std::vector<uint8_t>
	Change(const std::string &id, Feed__Object &object,
	    config_op_t op = CONFIG_OP_PUT, int64_t if_version = -1,
	    uint64_t fingerprint = 0)
	{
		Feed__ChangeItem item = FEED__CHANGE_ITEM__INIT;
		Feed__ChangeItem *items[] = { &item };
		Feed__Change change = FEED__CHANGE__INIT;
		Feed__Entry entry = FEED__ENTRY__INIT;

		item.op = op;
		item.object = &object;
		item.has_if_version = if_version >= 0;
		item.if_version = if_version >= 0 ? (uint64_t)if_version : 0;
		change.change_id = (char *)id.c_str();
		change.actor = (char *)"alice";
		change.fingerprint = fingerprint;
		change.items = items;
		change.n_items = 1;
		entry.change = &change;
		return Encode(entry);
	}

	static std::vector<uint8_t>
	Workspace(const std::string &id, const std::string &name, uint32_t rate)
	{
		Feed__Object object = FEED__OBJECT__INIT;

		object.kind = CONFIG_KIND_WORKSPACE;
		object.name = (char *)name.c_str();
		object.rate_per_s = rate;
		object.burst = 10;
		return Change(id, object);
	}

	static std::vector<uint8_t>
	Key(const std::string &change_id, const std::string &id, bool withdrawn)
	{
		Feed__Object object = FEED__OBJECT__INIT;
		uint8_t digest[CONFIG_SHA256_BYTES] = { 1 };

		object.kind = CONFIG_KIND_KEY;
		object.name = (char *)id.c_str();
		object.workspace = (char *)"w";
		object.secret_sha256.data = digest;
		object.secret_sha256.len = sizeof(digest);
		object.withdrawn = withdrawn;
		return Change(change_id, object);
	}

	static std::vector<uint8_t>
	Join(const std::string &name, uint64_t incarnation,
	    const std::string &data_centre)
	{
		Feed__Node node = FEED__NODE__INIT;
		Feed__Entry entry = FEED__ENTRY__INIT;

		node.name = (char *)name.c_str();
		node.incarnation = incarnation;
		node.data_centre = (char *)data_centre.c_str();
		node.peer_ip = (char *)"10.0.0.1";
		node.peer_port = 7000;
		entry.join = &node;
		return Encode(entry);
	}
};

class GossipWorld {
      public:
	struct Control {
		GossipWorld *world;
		node_id_t id;
		void *slot;
		config_state_t *state;
		feed_t *feed;
		bool up = true;
	};
	struct Entry {
		GossipWorld *world;
		std::string name;
		node_id_t id;
		void *slot;
		config_state_t *state;
		gossip_t *gossip;
		int64_t blob_seq = 0;
	};

	GossipWorld(int entries, uint64_t seed)
	    : net(fakenet_create(seed, 20, 1, 5))
	{
		for (int i = 1; i <= 3; i++)
			AddControl("c" + std::to_string(i));
		for (int i = 1; i <= entries; i++)
			AddEntry("n" + std::to_string(i), seed + i);
		Apply(EntryBuilder::Workspace("first", "w", 10));
	}

	~GossipWorld()
	{
		for (auto &entry : entries) {
			gossip_destroy(entry->gossip);
			config_state_destroy(entry->state);
		}
		for (auto &control : controls) {
			feed_destroy(control->feed);
			config_state_destroy(control->state);
		}
		fakenet_destroy(net);
	}

	// Accepts an entry.
	void
	Apply(const std::vector<uint8_t> &bytes)
	{
		index += 1 + index % 3;
		for (auto &control : controls) {
			uint64_t prev = config_state_get_index(control->state);
			config_state_apply(control->state, index, bytes.data(),
			    bytes.size(), nullptr);
			feed_add_entry(control->feed, index, prev, bytes.data(),
			    bytes.size(), Now());
		}
	}

	// New control VMs that continue the state of one VM in a new epoch.
	void
	Recover(const Entry &from)
	{
		size_t len;

		epoch++;
		index = epoch << CONFIG_EPOCH_SHIFT;
		for (auto &control : controls) {
			uint8_t *bytes =
			    config_snapshot_encode(from.state, &len);
			feed_destroy(control->feed);
			config_state_destroy(control->state);
			control->state = config_state_create();
			config_snapshot_install(control->state, bytes, len);
			config_state_begin_epoch(control->state, epoch, index);
			control->feed = feed_create(
			    control->state, fakenet_send, control->slot);
			free(bytes);
		}
	}

	// Stops all control VMs, or starts them again with their state.
	void
	SetControl(bool up)
	{
		for (auto &control : controls)
			control->up = up;
		Cut("controls", "all", !up);
		Cut("all", "controls", !up);
	}

	void
	Cut(const std::string &from, const std::string &to, bool cut)
	{
		for (node_id_t a : Group(from)) {
			for (node_id_t b : Group(to)) {
				if (a != b)
					fakenet_set_cut(net, a, b, cut);
			}
		}
	}

	Entry *
	Find(const std::string &name)
	{
		for (auto &entry : entries) {
			if (entry->name == name)
				return entry.get();
		}
		return nullptr;
	}

	bool
	IsServing(const Entry &entry)
	{
		return gossip_is_serving(entry.gossip, Now()) == 1;
	}

	bool
	HasWithdrawn(const Entry &entry, const std::string &key)
	{
		const config_key_t *found =
		    config_state_find_key(entry.state, key.c_str(), key.size());
		return found != nullptr && found->withdrawn;
	}

	int64_t
	Now()
	{
		return fakenet_now_ms(net);
	}

	void
	Run(int64_t ms)
	{
		fakenet_run(net, ms);
	}

	fakenet_t *net;
	uint64_t index = 0;
	uint64_t epoch = 0;
	std::vector<std::unique_ptr<Control>> controls;
	std::vector<std::unique_ptr<Entry>> entries;

      private:
	// "controls", "entries", "all", or the name of one VM.
	std::vector<node_id_t>
	Group(const std::string &name)
	{
		std::vector<node_id_t> out;

		for (auto &control : controls) {
			if (name == "controls" || name == "all" ||
			    control->id == node_id_from_name(name.c_str()))
				out.push_back(control->id);
		}
		for (auto &entry : entries) {
			if (name == "entries" || name == "all" ||
			    entry->name == name)
				out.push_back(entry->id);
		}
		return out;
	}

	void
	AddControl(const std::string &name)
	{
		auto control = std::make_unique<Control>();

		control->world = this;
		control->id = node_id_from_name(name.c_str());
		control->slot = fakenet_add(net, control->id, control.get(),
		    ControlReceive, ControlTick);
		control->state = config_state_create();
		control->feed =
		    feed_create(control->state, fakenet_send, control->slot);
		controls.push_back(std::move(control));
	}

	void
	AddEntry(const std::string &name, uint64_t seed)
	{
		auto entry = std::make_unique<Entry>();
		gossip_options_t options = {};

		entry->world = this;
		entry->name = name;
		entry->id = node_id_from_name(name.c_str());
		entry->slot = fakenet_add(
		    net, entry->id, entry.get(), EntryReceive, EntryTick);
		entry->state = config_state_create();
		strcpy(options.self.name, name.c_str());
		strcpy(options.self.data_centre, "dc-1");
		strcpy(options.self.peer_ip, "10.0.0.1");
		options.self.incarnation = 1;
		options.self.peer_port = 7000;
		options.state = entry->state;
		for (auto &control : controls)
			options.controls[options.control_count++] = control->id;
		options.seed = seed;
		options.send = fakenet_send;
		options.send_ctx = entry->slot;
		options.blob = EntryBlob;
		options.ctx = entry.get();
		gossip_create(&entry->gossip, &options, Now());
		entries.push_back(std::move(entry));
	}

	static void
	ControlReceive(void *node, node_id_t from, uint16_t type,
	    const uint8_t *payload, size_t len, int64_t now_ms)
	{
		auto *control = static_cast<Control *>(node);

		if (type == MSG_FEED_SUBSCRIBE) {
			Feed__Subscribe *msg =
			    feed__subscribe__unpack(nullptr, len, payload);
			if (config_state_find_node(control->state, from) ==
			    nullptr)
				control->world->Apply(EntryBuilder::Join(
				    msg->node->name, 1, "dc-1"));
			feed_subscribe(control->feed, from, msg->index, now_ms);
			feed__subscribe__free_unpacked(msg, nullptr);
		} else if (type == MSG_FEED_PULL) {
			Feed__Pull *msg =
			    feed__pull__unpack(nullptr, len, payload);
			feed_pull(control->feed, from, msg, now_ms);
			feed__pull__free_unpacked(msg, nullptr);
		}
	}

	static void
	ControlTick(void *node, int64_t now_ms)
	{
		auto *control = static_cast<Control *>(node);
		Feed__Tick tick = FEED__TICK__INIT;

		if (!control->up)
			return;
		if (now_ms % FEED_TICK_MS < 20) {
			tick.term =
			    (control->world->epoch << CONFIG_EPOCH_SHIFT) + 1;
			tick.number = (uint64_t)(now_ms / FEED_TICK_MS);
			tick.index = control->world->index;
			feed_set_tick(control->feed, &tick, now_ms);
		}
		feed_tick(control->feed, now_ms);
	}

	static void
	EntryReceive(void *node, node_id_t from, uint16_t type,
	    const uint8_t *payload, size_t len, int64_t now_ms)
	{
		gossip_handle(static_cast<Entry *>(node)->gossip, from, type,
		    payload, len, now_ms);
	}

	static void
	EntryTick(void *node, int64_t now_ms)
	{
		gossip_tick(static_cast<Entry *>(node)->gossip, now_ms);
	}

	static void
	EntryBlob(void *ctx, uint64_t key, uint64_t term, uint64_t seq,
	    const uint8_t *bytes, size_t len)
	{
		(void)key;
		(void)term;
		(void)bytes;
		(void)len;
		static_cast<Entry *>(ctx)->blob_seq = (int64_t)seq;
	}
};

#endif
