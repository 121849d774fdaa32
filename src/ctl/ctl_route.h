/**
 * @file
 * tmctl explain route: where a gate would send a request now, and why.
 */
#ifndef TM_CTL_CTL_ROUTE_H
#define TM_CTL_CTL_ROUTE_H

#include "ctl/ctl_command.h"

/** Checks the options of the command.
 * @return 0, or TM_EINVAL after a message on standard error */
int ctl_route_check(const ctl_options_t *options);

/** tmctl explain route; asks the gate that --server names */
ctl_exit_t ctl_route_run_explain(ctl_api_t *api, const ctl_options_t *options);

#endif
