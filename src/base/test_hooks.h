/**
 * @file
 * Switches that turn a mechanism off, so that a proof can show that its check
 * fails without it. Test builds only.
 */
#ifndef TM_BASE_TEST_HOOKS_H
#define TM_BASE_TEST_HOOKS_H

/**
 * Tells whether the environment variable TM_TEST_OFF, a list separated by
 * commas, names a mechanism. The names are in docs/proofs.md.
 *
 * @return 1 or 0; always 0 in builds without TM_TEST_HOOKS
 */
int test_hooks_is_off(const char *mechanism);

#endif
