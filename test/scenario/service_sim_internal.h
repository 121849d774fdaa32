// Types of the model that its source files share.
#ifndef TM_TEST_SERVICE_SIM_INTERNAL_H
#define TM_TEST_SERVICE_SIM_INTERNAL_H

#include "service_sim.h"

struct SimRequest {
	fair_item_t item{};
	service_attempt_t attempt{};
	SimVm *vm = nullptr;
	int workspace = 0;
	int64_t arrived_ms = 0;
	uint64_t tried[BALANCER_TRIED_MAX];
	uint32_t tried_count = 0;
	int target = -1;
	uint64_t incarnation = 0; // of the attempt's target
	uint32_t serial = 0; // of the attempt
	service_outcome_t outcome = SERVICE_OUTCOME_OK;
	bool crashes = false;
	bool hedged = false;
	bool is_hedge = false;
	SimRequest *twin = nullptr; // the other attempt of a hedged request
	bool at_target = false;
	bool done = false; // answered or given up at the VM
	int pending = 0; // events that still refer to the request
};

struct SimVm {
	ServiceSim *sim;
	int index;
	node_id_t id;
	uint32_t dc;
	void *port;
	bool alive = true;
	service_view_t *view = nullptr;
	service_leader_t *leader = nullptr;
	balancer_t balancer;
	retry_budget_t budget;
	fair_queue_t *queue;
	rng_t rng;
	uint32_t avoided = 0;
};

void simReceive(void *node, node_id_t from, uint16_t type,
    const uint8_t *payload, size_t len, int64_t now_ms);
void simTick(void *node, int64_t now_ms);
void simInit(SimVm &vm);

#endif
