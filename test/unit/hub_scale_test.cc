// Failures guarded against: work of the leader that grows with the square of the
// number of targets. Prints what its tick and the tables of gates cost.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstring>
#include <ctime>
#include <functional>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "fleet/fleet_table.h"
#include "hub/hub_feed.h"
#include "hub/hub_load.h"
#include "net/packed_msg.h"
#include "net/peer_frame.h"
}

namespace {

const int kServiceTargets = 100;

/* Processor time of this thread; other processes do not count. */
double
GetCpuMs()
{
	timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return ((double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6);
}

/* State of a leader with targets in services of kServiceTargets. */
class Leader {
      public:
	explicit Leader(int targets) : targets_(targets)
	{
		hub_feed_options_t options = {};

		for (int i = 0; i < targets; i++)
			Add(i);
		options.state = state_;
		options.outlier = outlier_;
		options.send = Send;
		options.send_ctx = this;
		options.window_ms = 5000;
		feed_ = hub_feed_create(&options);
		hub_feed_reset(feed_, 1, now_);
	}

	~Leader()
	{
		hub_feed_destroy(feed_);
		hub_load_destroy(load_);
		hub_outlier_destroy(outlier_);
		hub_state_destroy(state_);
	}

	void
	Add(int i)
	{
		dialect_announcement_t as = {};
		hub_changed_targets_t changed;
		size_t len;

		snprintf(as.id, sizeof(as.id), "target-%05d-1", i);
		snprintf(as.service, sizeof(as.service), "service-%d",
		    i / kServiceTargets);
		snprintf(as.zone, sizeof(as.zone), "zone-%d", i % 3);
		as.born_ms = 1700000000000;
		as.ip = 0x0a000000U + (uint32_t)i;
		as.port = 8080;
		as.slots = 6;
		uint8_t *bytes = hub_entry_encode_target(&as, &len);
		hub_state_apply(state_, bytes, len, &changed);
		free(bytes);
		hub_outlier_add_target(outlier_, changed.target->key,
		    fleet_name_hash(as.service), as.born_ms);
		hub_outlier_record_announcement(
		    outlier_, changed.target->key, now_);
		hub_load_record(load_, changed.target->key, 2, now_);
		keys_.push_back(changed.target->key);
	}

	static void
	Send(
	    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
	{
		Leader *self = static_cast<Leader *>(ctx);
		size_t size = protobuf_c_message_get_packed_size(msg);

		/* The message layer packs each message for each receiver. */
		self->buffer_.resize(size);
		protobuf_c_message_pack(msg, self->buffer_.data());
		if (type == MSG_FLEET_TABLE)
			self->table_ = self->buffer_;
		self->sent_++;
		self->bytes_ += size;
	}

	/* @return processor time of one call in us */
	double
	Measure(const char *what, int calls, const std::function<void()> &call)
	{
		double start = GetCpuMs();

		for (int i = 0; i < calls; i++)
			call();
		double us = (GetCpuMs() - start) * 1e3 / calls;
		printf("%4d targets: %-22s %9.1f us\n", targets_, what, us);
		return (us);
	}

	/* A gate joins.
	 * @param digest  of its table, 0: it has none */
	void
	Join(int gate, uint64_t digest = 0)
	{
		Tm__Fleet__Join join = TM__FLEET__JOIN__INIT;
		hub_feed_lease_t lease = {};

		lease.term = 1;
		lease.leader = "10.0.0.1";
		join.up_ms = 1;
		join.table_digest = digest;
		hub_feed_renew_lease(
		    feed_, (node_id_t)gate + 1, &join, &lease, now_);
	}

	int targets_;
	int64_t now_ = 100000;
	hub_state_t *state_ = hub_state_create();
	hub_outlier_t *outlier_ = hub_outlier_create(
	    0.7, [](void *, uint64_t, fleet_verdict_t, const char *) {},
	    nullptr);
	hub_load_t *load_ = hub_load_create();
	hub_feed_t *feed_ = nullptr;
	std::vector<uint64_t> keys_;
	std::vector<uint8_t> buffer_;
	std::vector<uint8_t> table_; // sent last
	size_t sent_ = 0;
	size_t bytes_ = 0;
};

} // namespace

// The tick, run 20 times a second, took a time that grows with the square of the
// targets.
TEST(HubScale, TickGrowsWithTheTargets)
{
	double us[2];
	int row = 0;

	for (int targets : { 300, 3000 }) {
		Leader leader(targets);
		std::vector<uint64_t> list(leader.keys_.size());
		size_t next = 0;

		us[row] = leader.Measure("outlier tick", 50,
		    [&] { hub_outlier_tick(leader.outlier_, leader.now_); });
		us[row] += leader.Measure("load update", 50, [&] {
			hub_load_update(leader.load_, leader.state_,
			    leader.outlier_, leader.now_);
		});
		us[row] += leader.Measure("count services", 50, [&] {
			hub_outlier_counts_t counts;

			for (int i = 0; i < targets / kServiceTargets; i++)
				hub_outlier_count_service(leader.outlier_,
				    fleet_name_hash(
					("service-" + std::to_string(i))
					    .c_str()),
				    leader.now_, &counts);
		});
		us[row] += leader.Measure("list ejected", 50, [&] {
			hub_outlier_list_ejected(
			    leader.outlier_, list.data(), list.size());
		});
		leader.Measure("evidence of a stall", 2000, [&] {
			hub_evidence_t stall = {};

			stall.target = leader.keys_[next++ % list.size()];
			stall.gate = 1 + next % 300;
			stall.kind = FLEET_EVIDENCE_STALL;
			hub_outlier_record_evidence(
			    leader.outlier_, &stall, leader.now_);
		});
		row++;
	}
	/* Ten times as many targets; the square would be a hundred. */
	EXPECT_LT(us[1], 40 * us[0]);
}

// Shows what whole tables and changes cost a leader at 300 gates.
TEST(HubScale, TablesOfAllGates)
{
	Leader leader(3000);
	int gate = 0;

	leader.Measure(
	    "whole table of a gate", 300, [&] { leader.Join(gate++); });
	printf("%zu bytes for each of 300 gates\n", leader.bytes_ / 300);
	EXPECT_LT(leader.bytes_ / 300, 100U * 3000);
	leader.bytes_ = leader.sent_ = 0;
	size_t next = 0;
	leader.Measure("verdict to 300 gates", 50, [&] {
		hub_feed_mark_verdict_changed(
		    leader.feed_, leader.keys_[next++], FLEET_VERDICT_EJECTED);
		hub_feed_flush(leader.feed_, leader.now_);
	});
	printf("%zu messages of %zu bytes\n", leader.sent_ / 50,
	    leader.bytes_ / leader.sent_);
	EXPECT_EQ(300U * 50, leader.sent_);
}

// A gate got another table from the packed one than from the one before it, or one
// that lacked a change.
TEST(HubScale, PackedTableIsTheSame)
{
	Leader leader(300);

	leader.Join(0);
	std::vector<uint8_t> first = leader.table_;
	leader.Join(1);
	EXPECT_EQ(first, leader.table_);
	EXPECT_GT(first.size(), 300U * 20);
	/* A new row, and the same row after the time for which it is kept. */
	leader.Add(300);
	hub_feed_mark_target_changed(leader.feed_, leader.keys_.back());
	leader.Join(2);
	EXPECT_GT(leader.table_.size(), first.size());
	leader.now_ += 1000;
	leader.Join(3);
	Tm__Fleet__Table *table = tm__fleet__table__unpack(
	    nullptr, leader.table_.size(), leader.table_.data());
	ASSERT_NE(nullptr, table);
	EXPECT_EQ(301U, table->n_targets);
	EXPECT_EQ(1U, table->term);
	EXPECT_EQ(hub_feed_get_sequence(leader.feed_), table->sequence);
	tm__fleet__table__free_unpacked(table, nullptr);
}

/* As peer_net_send() and uv_try_write(): packs, signs, copies and writes. */
void
SendFrame(int fd, frame_auth_t *auth, const ProtobufCMessage *msg)
{
	size_t len = protobuf_c_message_get_packed_size(msg);
	std::vector<uint8_t> packed(len);
	std::vector<uint8_t> frame(FRAME_OVERHEAD_BYTES + len);

	protobuf_c_message_pack(msg, packed.data());
	frame_write_head(frame.data(), MSG_FLEET_TABLE, len);
	memcpy(frame.data() + FRAME_LENGTH_BYTES + FRAME_TYPE_BYTES,
	    packed.data(), len);
	frame_auth_sign(auth, MSG_FLEET_TABLE, packed.data(), len,
	    frame.data() + frame.size() - FRAME_TAG_BYTES);
	for (size_t done = 0; done < frame.size();)
		done +=
		    (size_t)write(fd, frame.data() + done, frame.size() - done);
}

/* A connection over loopback. */
void
Connect(int fds[2])
{
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	sockaddr_in addr = {};
	socklen_t len = sizeof(addr);

	addr.sin_family = AF_INET;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(0, bind(listener, (sockaddr *)&addr, len));
	ASSERT_EQ(0, listen(listener, 1));
	ASSERT_EQ(0, getsockname(listener, (sockaddr *)&addr, &len));
	fds[0] = socket(AF_INET, SOCK_STREAM, 0);
	ASSERT_EQ(0, connect(fds[0], (sockaddr *)&addr, len));
	fds[1] = accept(listener, nullptr, nullptr);
	close(listener);
}

// Shows what the bytes of a table that is packed already cost a leader, and what
// compressing it does: the rates of GateReturn.
TEST(HubScale, BytesOfPackedTables)
{
	const frame_identity_t client = { "gate", 1, { 1 } };
	const frame_identity_t server = { "hub", 2, { 2 } };
	frame_auth_t *auth = frame_auth_create("s", &client, &server, 0);
	const size_t bytes = 164000;
	const int calls = 300;
	std::vector<uint8_t> data(bytes, 1);
	Tm__Fleet__Table table = TM__FLEET__TABLE__INIT;
	packed_msg_t packed = {};
	Leader leader(3000);
	int fds[2];

	Connect(fds);
	std::thread reader([&] {
		std::vector<uint8_t> buffer(1 << 16);

		while (read(fds[1], buffer.data(), buffer.size()) > 0)
			;
	});
	table.term = 1;
	table.zipped.data = data.data();
	table.zipped.len = data.size();
	ASSERT_EQ(0, packed_msg_set(&packed, &table.base));
	double us = leader.Measure("frame of 164 kB", calls,
	    [&] { SendFrame(fds[0], auth, &packed.base); });
	printf("%.0f kB for each ms of a core\n", (double)bytes / us);
	packed_msg_release(&packed);
	close(fds[0]);
	reader.join();
	close(fds[1]);
	frame_auth_destroy(auth);
	leader.Join(0);
	Tm__Fleet__Table *whole =
	    fleet_table_unpack(leader.table_.data(), leader.table_.size());
	leader.Measure("compressed table", 50, [&] {
		Tm__Fleet__Table zipped;

		ASSERT_EQ(0, fleet_table_zip(whole, &zipped));
		free(zipped.zipped.data);
	});
	/* All gates have the table; it is compared anew each time. */
	fleet_table_digests_t digests = {};
	for (size_t i = 0; i < whole->n_targets; i++)
		digests.sums[fleet_table_get_bucket(
		    fleet_name_hash(whole->targets[i]->id))] +=
		    fleet_table_digest_row(whole->targets[i]);
	int gate = 1;
	leader.Measure("differences", 50, [&] {
		leader.now_ += 1000;
		leader.Join(gate++, fleet_table_digest(&digests));
	});
	tm__fleet__table__free_unpacked(whole, nullptr);
	EXPECT_LT(leader.table_.size(), 100U);
	EXPECT_GT(us, 0);
}
