/**
 * @file
 * Control VMs with the real raft module on the in-memory network. The disk of a
 * node survives kills. At each tick the cluster checks that no committed entry
 * changes and that no two nodes lead at once.
 */
#ifndef TM_TEST_RAFT_CLUSTER_H
#define TM_TEST_RAFT_CLUSTER_H

#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/node_defs.h"
#include "base/rng.h"
#include "raft/raft.h"
#include "store/store.h"
}
#include "fakenet.h"

struct RaftDisk {
	uint64_t disk_id = 0;
	uint64_t term = 0;
	node_id_t vote = NODE_ID_NONE;
	struct Record {
		uint64_t term;
		raft_kind_t kind;
		std::string data;
	};
	std::map<uint64_t, Record> entries;
	raft_snapshot_t snapshot = {};
	std::string snapshot_data;
};

class RaftCluster;

struct RaftNode {
	RaftCluster *cluster;
	std::string name;
	node_id_t id;
	RaftDisk disk;
	store_t *store = nullptr; /**< used instead of disk if set */
	store_faults_t *faults = nullptr; /**< of the store */
	raft_t *raft = nullptr;
	int64_t sync_ms = 0; /**< of the disk; the node waits for it */
	int64_t busy_until_ms = 0; /**< end of the last sync */
	bool frozen = false;
	bool wiped = false;
	std::map<uint64_t, std::string> state; /**< applied data by index */
};

class RaftCluster {
      public:
	/**
	 * @param forming    disk ids are not given to the nodes beforehand
	 * @param data_path  if set, nodes use real data folders below it;
	 *                   needs forming
	 */
	RaftCluster(const std::vector<std::string> &names, uint64_t seed,
	    uint32_t switches, bool forming = false,
	    const std::string &data_path = "");
	~RaftCluster();

	RaftNode *find(const std::string &name);
	/** Leader with contact to a majority, or nullptr. */
	RaftNode *leader();
	void run(int64_t ms);
	/** Starts a node; aborts on an error if it has no faults.
	 * @return 0, or the error of its store */
	int start(RaftNode *node);
	void kill(RaftNode *node);
	/** Starts a killed node with an empty disk. */
	void wipe(RaftNode *node);
	void freeze(RaftNode *node, bool frozen);
	void cut(RaftNode *from, RaftNode *to, bool is_cut);
	void isolate(RaftNode *node, bool is_cut);
	int propose(RaftNode *node, const std::string &text);
	/** Starts a new epoch; entries that the node lacks count as lost. */
	int recover(RaftNode *node, int *lost);
	/** Number of nodes whose disk was lost and that have no vote yet. */
	int count_repairing();
	/** After healing: all nodes hold every committed entry. */
	void check_converged();
	void check();
	void record_commit(RaftNode *node, uint64_t index, std::string text);
	void violate(const std::string &what);

	fakenet_t *net;
	std::vector<std::unique_ptr<RaftNode>> nodes;
	std::vector<std::string> violations;
	std::map<uint64_t, std::string> committed;
	uint64_t epoch = 0; /**< newest one that was started */

      private:
	std::map<uint64_t, std::string> leaders; /* by term */
	int open_store(RaftNode *node, raft_options_t *options);

	std::vector<raft_member_t> initial;
	uint64_t seed;
	uint64_t next_disk = 1;
	uint32_t switches;
	std::string data_path;
};

#endif
