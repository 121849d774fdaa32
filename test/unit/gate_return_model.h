/* Links of gates and feeds of hubs on a virtual clock, over connections that
 * behave as those of src/net: the model of gate_return_test.cc. */
#ifndef TM_TEST_GATE_RETURN_MODEL_H
#define TM_TEST_GATE_RETURN_MODEL_H

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <vector>

extern "C" {
#include "base/log.h"
#include "fleet/fleet_table.h"
#include "gate/gate_link.h"
#include "gate/gate_table.h"
#include "hub/hub_feed.h"
#include "hub/hub_members.h"
}

namespace {

const int kGates = 127;
const int kHubs = 12;
/* Hubs with a seat in the log, the last ones; only these learn from it who leads. */
const int kSeats = 5;
const int kTargets = 404;
const double kCutShare = 0.9;
const int64_t kStepMs = 5;
const int64_t kTickMs = 50;
const int64_t kOneWayMs = 2;
/* Rates at which a VM's link carries bytes, and at which a hub with a seventh of
 * a core sends what is packed: of 648 to 691 kB for each ms of a core, three runs of
 * HubScale.BytesOfPackedTables. Without SHA instructions (OPENSSL_armcap=0) it is
 * 197 to 206. Renewals of all gates take the hub two fifths of its time. */
const double kLinkBytesPerMs = 275;
const double kHubBytesPerMs = 92000;
const double kHubMessageMs = 0.75;
/* Making and compressing a row of a whole table takes 0.8 us of a core, making
 * differences 0.3 us for each row of the table (HubScale: 0.74 and 1.66 ms, and 0.72
 * to 0.82 ms, for 3,000 rows), here with a seventh of a core. Differences are made
 * anew after 50 ms at the earliest, smaller than this. */
const double kHubWholeRowMs = 0.0056;
const double kHubDifferencesRowMs = 0.0022;
const int64_t kHubReuseMs = 50;
const size_t kHubDifferencesMaxBytes = 15000;

/* Connections as in src/net/peer_conn.c. */
const int64_t kHandshakeTimeoutMs = 2000;
const int64_t kRetryMinMs = 200;
const int64_t kRetryMaxMs = 5000;
const int64_t kUnackedTimeoutMs = 5000;
/* Times after the first one at which the kernel sends a SYN again. */
const int64_t kSynMs[] = { 0, 1000, 3000 };

struct Message {
	node_id_t from;
	int hub;
	int gate;
	uint16_t type;
	std::vector<uint8_t> bytes;
	double link_from_ms =
	    0; /* its bytes cross the gate's link from then on */
};

enum class State { kClosed, kConnecting, kOpen };

struct Conn {
	State state = State::kClosed;
	uint64_t number = 0; /* 0: none is open */
	int64_t since_ms = 0;
	int64_t retry_ms = 0;
	int64_t backoff_ms = 0;
	int64_t unacked_ms = 0; /* 0: everything sent has arrived */
	int64_t received_ms = 0; /* a whole message last arrived; 0: none did */
	std::vector<Message> waiting;
};

class Fleet;

struct Gate {
	Fleet *fleet;
	int index;
	gate_link_t *link;
	gate_table_t *table; /* NULL: only its term and sequence are kept */
	int is_cut;
	uint64_t version;
	uint64_t table_term;
	uint64_t table_sequence;
	int64_t returned_ms;
	int64_t started_ms;
	int64_t served_ms; /* it had the newest document and a table of the
			    * newest term first; 0: not yet */
	double link_until_ms; /* bytes are on its link until then */
	double bytes; /* sent to it since the start */
	int resets;
	Conn conns[kHubs];
};

struct Hub {
	Fleet *fleet;
	int index;
	hub_feed_t *feed;
	hub_members_t *members;
	double busy_until_ms;
	int64_t made_ms; /* when it made a table last */
	int made;
	std::deque<Message> inbox;
};

class Fleet {
      public:
	explicit Fleet(uint64_t seed, int gates = kGates,
	    int targets = kTargets, size_t document_bytes = 20000)
	    : random_(seed), document_bytes_(document_bytes),
	      gates_((size_t)gates)
	{
		outlier_ = hub_outlier_create(
		    0.7, [](void *, uint64_t, fleet_verdict_t, const char *) {},
		    nullptr);
		for (int i = 0; i < kHubs; i++)
			names_.push_back("10.0.0." + std::to_string(i + 1));
		for (int i = 0; i < targets; i++)
			AddTarget(i);
		ChangeDocument();
		hubs_.resize(kHubs);
		for (int i = 0; i < kHubs; i++)
			AddHub(i);
		Lead(0);
		for (int i = 0; i < gates; i++)
			AddGate(i);
	}

	~Fleet()
	{
		for (Gate &gate : gates_) {
			gate_link_destroy(gate.link);
			gate_table_destroy(gate.table);
		}
		for (Hub &hub : hubs_) {
			hub_feed_destroy(hub.feed);
			hub_members_destroy(hub.members);
		}
		hub_outlier_destroy(outlier_);
		hub_state_destroy(state_);
	}

	void
	Run(int64_t ms)
	{
		for (int64_t end = now_ + ms; now_ < end; now_ += kStepMs)
			Step();
	}

	void
	Lead(int hub)
	{
		hub_members_set_leading(hubs_[(size_t)leader_].members, 0);
		leader_ = hub;
		has_leader_ = 1;
		led_ms_ = now_;
		hub_feed_reset(hubs_[(size_t)hub].feed, ++term_, now_);
		hub_members_set_leading(hubs_[(size_t)hub].members, term_);
	}

	/* From now on gates keep the rows of their tables. */
	void
	KeepTables()
	{
		for (Gate &gate : gates_)
			gate.table = gate_table_create("zone-1", 1);
	}

	/* Of a target, which starts anew. */
	void
	ChangeTarget(int i)
	{
		AddTarget(i, 1);
		hub_feed_mark_target_changed(hubs_[(size_t)leader_].feed,
		    fleet_name_hash(MakeTarget(i, 1).id));
	}

	/* Bytes sent to gates count from now on. */
	void
	ResetSent()
	{
		for (Gate &gate : gates_)
			gate.bytes = gate.resets = 0;
	}

	/* @return bytes that were sent to a gate, mean */
	double
	GetSentBytes() const
	{
		double bytes = 0;

		for (const Gate &gate : gates_)
			bytes += gate.bytes;
		return (bytes / (double)gates_.size());
	}

	/* Power is back after a loss: all start at the same time, nobody leads. */
	void
	Restart()
	{
		has_leader_ = 0;
		to_hubs_.clear();
		to_gates_.clear();
		for (Hub &hub : hubs_) {
			hub_members_destroy(hub.members);
			AddMembers(&hub);
			hub.inbox.clear();
			hub.busy_until_ms = 0;
		}
		for (Gate &gate : gates_) {
			gate_link_destroy(gate.link);
			for (Conn &conn : gate.conns)
				conn = Conn();
			gate.version = gate.table_term = 0;
			gate.served_ms = 0;
			gate.link_until_ms = gate.bytes = 0;
			gate.resets = 0;
			AddGate(gate.index);
		}
	}

	/* @return time from the first service of the leader until it has served
	 * each gate, ascending; a gate without it counts as late as possible */
	std::vector<int64_t>
	GetServedTimes() const
	{
		std::vector<int64_t> times;

		for (const Gate &gate : gates_)
			times.push_back(gate.served_ms < led_ms_
				? INT64_MAX
				: gate.served_ms - led_ms_);
		std::sort(times.begin(), times.end());
		return (times);
	}

	void
	ChangeDocument()
	{
		hub_changed_targets_t changed;
		hub_document_t document;
		std::string text(document_bytes_, 'x');
		size_t len;

		for (char &c : text)
			c = (char)('a' + random_() % 26);
		hub_document_compress(
		    &document, ++version_, text.data(), text.size());
		uint8_t *bytes = hub_entry_encode_document(&document, &len);
		hub_document_release(&document);
		hub_state_apply(state_, bytes, len, &changed);
		free(bytes);
		if (!hubs_.empty())
			hub_feed_mark_document_changed(
			    hubs_[(size_t)leader_].feed);
	}

	/* Cuts most gates off from all hubs, or joins them again. */
	void
	SetCut(int is_cut)
	{
		for (Gate &gate : gates_) {
			gate.is_cut = is_cut &&
			    gate.index < kCutShare * (double)gates_.size();
			gate.returned_ms = 0;
		}
		healed_ms_ = now_;
	}

	/* @return time from the heal to the newest version, by gate, ascending;
	 * a gate without it counts as late as possible */
	std::vector<int64_t>
	GetReturnTimes() const
	{
		std::vector<int64_t> times;

		for (const Gate &gate : gates_)
			times.push_back(gate.version < version_
				? INT64_MAX
				: std::max<int64_t>(
				      gate.returned_ms - healed_ms_, 0));
		std::sort(times.begin(), times.end());
		return (times);
	}

	void
	PrintSent() const
	{
		double bytes = 0;
		int resets = 0;

		for (const Gate &gate : gates_) {
			bytes += gate.bytes;
			resets += gate.resets;
		}
		printf("  kB for a gate %.0f, connections opened anew %d, "
		       "tables made %d\n",
		    bytes / 1000 / (double)gates_.size(), resets,
		    hubs_[(size_t)leader_].made);
	}

      private:
	/* Rows differ as those of a real fleet, as tables are compressed. */
	static dialect_announcement_t
	MakeTarget(int i, uint64_t start)
	{
		const uint64_t first_born_ms = 1700000000000;
		const uint64_t days_ms = 1000000000;
		dialect_announcement_t as = {};
		std::mt19937_64 random((uint64_t)i);

		snprintf(as.id, sizeof(as.id), "i-%010llx",
		    (unsigned long long)(random() & 0xffffffffff));
		snprintf(as.service, sizeof(as.service), "service-%d", i % 10);
		snprintf(as.zone, sizeof(as.zone), "zone-%d", i % 3);
		as.ip = 0x0a000000U | (uint32_t)(random() & 0xffffff);
		as.port = (uint16_t)(1024 + random() % 60000);
		as.slots = 6;
		as.born_ms = first_born_ms + random() % days_ms + start;
		as.sequence = random() & 0xffff;
		return (as);
	}

	void
	AddTarget(int i, uint64_t start = 0)
	{
		dialect_announcement_t as = MakeTarget(i, start);
		hub_changed_targets_t changed;
		size_t len;
		uint8_t *bytes = hub_entry_encode_target(&as, &len);

		hub_state_apply(state_, bytes, len, &changed);
		free(bytes);
	}

	void
	AddHub(int i)
	{
		hub_feed_options_t options = {};

		hubs_[(size_t)i].fleet = this;
		hubs_[(size_t)i].index = i;
		options.state = state_;
		options.outlier = outlier_;
		options.send = SendFromHub;
		options.send_ctx = &hubs_[(size_t)i];
		options.get_connection = GetConnection;
		options.connection_ctx = &hubs_[(size_t)i];
		options.window_ms = 5000;
		hubs_[(size_t)i].feed = hub_feed_create(&options);
		AddMembers(&hubs_[(size_t)i]);
	}

	/* As peer_net_get_connection(). */
	static uint64_t
	GetConnection(void *ctx, node_id_t gate)
	{
		const Hub *hub = static_cast<Hub *>(ctx);

		return (hub->fleet->gates_[(size_t)gate - 1]
			    .conns[hub->index]
			    .number);
	}

	void
	AddMembers(Hub *hub)
	{
		const char *seeds[] = { "10.0.0.1", "10.0.0.2", "10.0.0.3" };
		hub_members_options_t options = {};

		options.self = names_[(size_t)hub->index].c_str();
		options.seeds = seeds;
		options.seed_count = 3;
		options.send = SendBetweenHubs;
		options.send_ctx = hub;
		options.added = [](void *, const char *) {};
		options.dropped = [](void *, node_id_t) {};
		hub->members = hub_members_create(&options);
	}

	static void
	SendBetweenHubs(
	    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
	{
		Hub *hub = static_cast<Hub *>(ctx);
		Fleet *fleet = hub->fleet;
		int receiver = fleet->FindHub(to);

		fleet->to_hubs_.emplace(fleet->now_ + kOneWayMs,
		    Message{ node_id_from_name(
				 fleet->names_[(size_t)hub->index].c_str()),
			receiver, -1, type, Pack(msg) });
	}

	/* @return name of the leader as a hub knows it, or "" */
	const char *
	GetKnownLeader(const Hub *hub) const
	{
		const char *name = nullptr;

		if (hub->index >= kHubs - kSeats)
			return (
			    has_leader_ ? names_[(size_t)leader_].c_str() : "");
		name = hub_members_find_leader(hub->members, now_);
		return (name != nullptr ? name : "");
	}

	void
	AddGate(int i)
	{
		const char *seeds[] = { "10.0.0.1", "10.0.0.2", "10.0.0.3" };
		gate_link_options_t options = {};
		Gate *gate = &gates_[(size_t)i];

		gate->fleet = this;
		gate->index = i;
		gate->started_ms = now_;
		options.seeds = seeds;
		options.seed_count = 3;
		options.spread = (uint64_t)i;
		options.key_lease_ms = 4000;
		options.send = SendFromGate;
		options.send_ctx = gate;
		options.hub_found = [](void *, const char *) {};
		options.hub_dropped = [](void *, node_id_t) {};
		options.reset_hub = ResetHub;
		options.get_received_ms = GetReceivedMs;
		options.late_probe = [](void *, uint64_t) {};
		options.fill_renewal = FillRenewal;
		options.set_utilization = [](void *,
					      const Tm__Fleet__Pressure *) {};
		options.set_full = [](void *, uint64_t, uint32_t, int64_t) {};
		options.set_idle = [](void *, const uint64_t *, size_t) {};
		options.renewal_sent = [](void *) {};
		options.ctx = gate;
		gate->link = gate_link_create(&options);
	}

	int
	FindHub(node_id_t id) const
	{
		for (int i = 0; i < kHubs; i++) {
			if (node_id_from_name(names_[(size_t)i].c_str()) == id)
				return (i);
		}
		return (-1);
	}

	static void
	FillRenewal(void *ctx, Tm__Fleet__Join *join, int)
	{
		Gate *gate = static_cast<Gate *>(ctx);

		join->config_version = gate->version;
		join->table_term = gate->table_term;
		join->table_sequence = gate->table_sequence;
		join->reads_zipped = 1;
		/* As on_fill_renewal() of gate.c. */
		if (gate->table != nullptr)
			gate_table_fill_join(gate->table,
			    gate_link_has_leader(
				gate->link, gate->fleet->now_) &&
				gate_link_get_term(gate->link) ==
				    gate->table_term,
			    join);
		join->up_ms = (uint64_t)(gate->fleet->now_ - gate->started_ms);
	}

	static void
	ResetHub(void *ctx, node_id_t hub)
	{
		Gate *gate = static_cast<Gate *>(ctx);
		int index = gate->fleet->FindHub(hub);

		gate->conns[index] = Conn();
		gate->fleet->Drop(gate, index);
	}

	/* As peer_net_get_received_ms(): bytes of a message arrive as long as it
	 * crosses the link. */
	static int64_t
	GetReceivedMs(void *ctx, node_id_t hub)
	{
		const Gate *gate = static_cast<Gate *>(ctx);
		const Fleet *fleet = gate->fleet;
		int index = fleet->FindHub(hub);

		for (const auto &at : fleet->to_gates_) {
			const Message &message = at.second;

			if (!gate->is_cut && message.gate == gate->index &&
			    message.hub == index &&
			    message.link_from_ms + kOneWayMs <=
				(double)fleet->now_)
				return (fleet->now_);
		}
		return (gate->conns[index].received_ms);
	}

	/* What is on its way to a gate is lost with its connection. */
	void
	Drop(Gate *gate, int hub)
	{
		for (auto at = to_gates_.begin(); at != to_gates_.end();) {
			const Message &message = at->second;

			if (message.gate == gate->index && message.hub == hub)
				at = to_gates_.erase(at);
			else
				++at;
		}
		gate->link_until_ms = (double)now_;
		gate->resets++;
	}

	static std::vector<uint8_t>
	Pack(const ProtobufCMessage *msg)
	{
		std::vector<uint8_t> bytes(
		    protobuf_c_message_get_packed_size(msg));

		protobuf_c_message_pack(msg, bytes.data());
		return (bytes);
	}

	/* As peer_net_send(): opens a connection unless it is too early. */
	static void
	SendFromGate(
	    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
	{
		Gate *gate = static_cast<Gate *>(ctx);
		Fleet *fleet = gate->fleet;
		int hub = fleet->FindHub(to);
		Conn *conn = &gate->conns[hub];
		Message message = { 0, hub, gate->index, type, Pack(msg) };

		if (conn->state == State::kClosed) {
			if (fleet->now_ < conn->retry_ms)
				return;
			conn->state = State::kConnecting;
			conn->number = ++fleet->conn_count_;
			/* Steps of connections come before those of links. */
			conn->since_ms = fleet->now_ + kStepMs;
		}
		if (conn->state == State::kConnecting)
			conn->waiting.push_back(message);
		else
			fleet->Transmit(gate, conn, message);
	}

	void
	Transmit(Gate *gate, Conn *conn, const Message &message)
	{
		if (!gate->is_cut)
			to_hubs_.emplace(now_ + kOneWayMs, message);
		else if (conn->unacked_ms == 0)
			conn->unacked_ms = now_;
	}

	static void
	SendFromHub(
	    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
	{
		Hub *hub = static_cast<Hub *>(ctx);
		Fleet *fleet = hub->fleet;
		Message message = {
			node_id_from_name(
			    fleet->names_[(size_t)hub->index].c_str()),
			hub->index, (int)to - 1, type, Pack(msg)
		};
		double bytes = (double)message.bytes.size();
		double link_ms = bytes / kLinkBytesPerMs;

		hub->busy_until_ms =
		    std::max(hub->busy_until_ms, (double)fleet->now_) +
		    kHubMessageMs + bytes / kHubBytesPerMs +
		    fleet->GetMakingMs(hub, message);
		Gate *gate = &fleet->gates_[(size_t)message.gate];
		gate->bytes += bytes;
		message.link_from_ms =
		    std::max(gate->link_until_ms, hub->busy_until_ms);
		gate->link_until_ms = message.link_from_ms + link_ms;
		fleet->to_gates_.emplace(
		    (int64_t)gate->link_until_ms + kOneWayMs, message);
	}

	/* @return time to make a table that is sent to many gates, unless it was
	 * made before: it has an age then, or comes soon after */
	double
	GetMakingMs(Hub *hub, const Message &message) const
	{
		double rows = HASH_COUNT(state_->targets);
		double ms = 0;

		if (message.type != MSG_FLEET_TABLE ||
		    now_ - hub->made_ms < kHubReuseMs)
			return (0);
		Tm__Fleet__Table *table = tm__fleet__table__unpack(
		    nullptr, message.bytes.size(), message.bytes.data());
		if (table->zipped.len > kHubDifferencesMaxBytes)
			ms = table->age_ms == 0 ? rows * kHubWholeRowMs : 0;
		else if (table->zipped.len > 0 || table->base_digest != 0)
			ms = rows * kHubDifferencesRowMs;
		if (ms > 0) {
			hub->made_ms = now_;
			hub->made++;
		}
		tm__fleet__table__free_unpacked(table, nullptr);
		return (ms);
	}

	void
	HandleJoin(const Message &message)
	{
		Hub *hub = &hubs_[(size_t)message.hub];
		Tm__Fleet__Join *join = tm__fleet__join__unpack(
		    NULL, message.bytes.size(), message.bytes.data());
		std::vector<const char *> names;
		hub_feed_lease_t lease = {};
		node_id_t gate = (node_id_t)message.gate + 1;

		for (const std::string &name : names_)
			names.push_back(name.c_str());
		lease.leader = GetKnownLeader(hub);
		lease.hubs = names.data();
		lease.hub_count = names.size();
		lease.term = term_;
		if (message.hub == leader_ && has_leader_)
			hub_feed_renew_lease(
			    hub->feed, gate, join, &lease, now_);
		else
			hub_feed_redirect(hub->feed, gate, join, &lease);
		tm__fleet__join__free_unpacked(join, NULL);
	}

	void
	HandleAtHub(Hub *hub, const Message &message)
	{
		hub->busy_until_ms =
		    std::max(hub->busy_until_ms, (double)now_) + kHubMessageMs;
		if (message.type == MSG_FLEET_JOIN)
			HandleJoin(message);
		if (message.type == MSG_FLEET_HELLO)
			hub_members_handle(hub->members, message.from,
			    message.bytes.data(), message.bytes.size(), now_);
	}

	/* A hub that is busy handles a message when it is done. */
	void
	StepHubs()
	{
		while (!to_hubs_.empty() && to_hubs_.begin()->first <= now_) {
			const Message &message = to_hubs_.begin()->second;

			hubs_[(size_t)message.hub].inbox.push_back(message);
			to_hubs_.erase(to_hubs_.begin());
		}
		for (Hub &hub : hubs_) {
			while (!hub.inbox.empty() &&
			    hub.busy_until_ms < (double)(now_ + kStepMs)) {
				HandleAtHub(&hub, hub.inbox.front());
				hub.inbox.pop_front();
			}
		}
		hub_feed_flush(hubs_[(size_t)leader_].feed, now_);
	}

	void
	HandleAtGate(Gate *gate, const Message &message)
	{
		if (message.type == MSG_FLEET_DOCUMENT) {
			Tm__Fleet__Document *msg = tm__fleet__document__unpack(
			    NULL, message.bytes.size(), message.bytes.data());

			gate->version = std::max(gate->version, msg->version);
			gate_link_set_version(gate->link, gate->version);
			if (gate->version == version_ && gate->returned_ms == 0)
				gate->returned_ms = now_;
			tm__fleet__document__free_unpacked(msg, NULL);
		} else if (message.type == MSG_FLEET_TABLE) {
			Tm__Fleet__Table *msg = fleet_table_unpack(
			    message.bytes.data(), message.bytes.size());

			if (gate->table == nullptr ||
			    gate_table_apply(gate->table, msg, now_)) {
				gate->table_term = msg->term;
				gate->table_sequence = msg->sequence;
			}
			tm__fleet__table__free_unpacked(msg, NULL);
		} else {
			gate_link_handle(gate->link, message.from, message.type,
			    message.bytes.data(), message.bytes.size(), now_);
		}
	}

	void
	RecordService(Gate *gate)
	{
		if (gate->served_ms < led_ms_ && gate->version == version_ &&
		    gate->table_term == term_)
			gate->served_ms = now_;
	}

	void
	StepConn(Gate *gate, Conn *conn)
	{
		int64_t age_ms = now_ - conn->since_ms;

		if (conn->state == State::kConnecting) {
			for (int64_t syn_ms : kSynMs) {
				if (gate->is_cut || age_ms < syn_ms ||
				    age_ms >= syn_ms + kStepMs)
					continue;
				conn->state = State::kOpen;
				for (Message &message : conn->waiting)
					to_hubs_.emplace(
					    now_ + 5 * kOneWayMs, message);
				conn->waiting.clear();
				return;
			}
			if (age_ms < kHandshakeTimeoutMs)
				return;
		} else if (conn->state != State::kOpen ||
		    conn->unacked_ms == 0 ||
		    now_ - conn->unacked_ms < kUnackedTimeoutMs) {
			return;
		}
		conn->waiting.clear();
		conn->state = State::kClosed;
		conn->unacked_ms = 0;
		conn->received_ms = 0;
		conn->number = 0;
		conn->backoff_ms = std::max(conn->backoff_ms, kRetryMinMs);
		conn->retry_ms = now_ + conn->backoff_ms;
		conn->backoff_ms = std::min(2 * conn->backoff_ms, kRetryMaxMs);
	}

	void
	StepGate(Gate *gate)
	{
		for (Conn &conn : gate->conns)
			StepConn(gate, &conn);
		if ((now_ + gate->index * kStepMs) % kTickMs == 0)
			gate_link_tick(gate->link, now_);
	}

	void
	Step()
	{
		StepHubs();
		while (!to_gates_.empty() && to_gates_.begin()->first <= now_) {
			Message message = to_gates_.begin()->second;
			Gate *gate = &gates_[(size_t)message.gate];

			to_gates_.erase(to_gates_.begin());
			if (gate->is_cut)
				continue;
			gate->conns[message.hub].received_ms = now_;
			HandleAtGate(gate, message);
			RecordService(gate);
		}
		for (Hub &hub : hubs_)
			hub_members_tick(hub.members, now_);
		for (Gate &gate : gates_)
			StepGate(&gate);
	}

	std::mt19937_64 random_;
	size_t document_bytes_;
	int64_t now_ = 1000000;
	hub_state_t *state_ = hub_state_create();
	hub_outlier_t *outlier_;
	std::vector<std::string> names_;
	std::vector<Hub> hubs_;
	std::vector<Gate> gates_;
	std::multimap<int64_t, Message> to_hubs_;
	std::multimap<int64_t, Message> to_gates_;
	uint64_t conn_count_ = 0;
	int leader_ = 0;
	int has_leader_ = 0;
	int64_t led_ms_ = 0;
	uint64_t term_ = 0;
	uint64_t version_ = 0;
	int64_t healed_ms_ = 0;
};

/* Time within which a request is held for want of a leader, less that of an
 * election. */
const int64_t kServedWithinMs = GATE_ELECTION_MAX_MS - 1000;

} // namespace

#endif
