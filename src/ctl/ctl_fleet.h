/**
 * @file
 * Commands that ask the whole fleet: control for its own state and for the
 * addresses, the entry VMs for what they decided.
 */
#ifndef TM_CTL_CTL_FLEET_H
#define TM_CTL_CTL_FLEET_H

#include "ctl/ctl_command.h"

/** tmctl status */
ctl_exit_t ctl_fleet_run_status(ctl_api_t *api, const ctl_options_t *options);

/** tmctl explain KIND NAME */
ctl_exit_t ctl_fleet_run_explain(ctl_api_t *api, const ctl_options_t *options);

#endif
