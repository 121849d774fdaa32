/*
 * Simplified forms of uthash and utlist macros for cppcheck, which does not
 * follow the real ones and then reports variables that they set.
 */
#define HASH_ITER(hh, head, el, tmp) \
	for ((el) = (head), (tmp) = (head); (el) != 0; (el) = (tmp))
#define HASH_FIND(hh, head, key, len, out) ((out) = (head))
#define HASH_FIND_STR(head, key, out)	   ((out) = (head))
#define DL_FOREACH(head, el) for ((el) = (head); (el) != 0; (el) = (el)->next)
#define DL_FOREACH_SAFE(head, el, tmp) \
	for ((el) = (head), (tmp) = (head); (el) != 0; (el) = (tmp))
