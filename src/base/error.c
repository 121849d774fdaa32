#include "base/error.h"

#include <stddef.h>

typedef struct error_entry {
	const char *text;
	const char *remedy;
} error_entry_t;

/* Indexed by the negated error number. */
static const error_entry_t error_table[] = {
	[0] = { "success", "" },
	[-TM_ENOMEM] = { "out of memory", "give the VM more memory" },
	[-TM_EINVAL] = { "invalid argument",
	    "correct the value named in the message" },
	[-TM_EIO] = { "input/output error",
	    "check the disk and the free space of the data folder" },
	[-TM_ECORRUPT] = { "stored data is corrupt",
	    "remove the data folder; the VM catches up from its peers" },
	[-TM_EFORMAT] = { "malformed data",
	    "check that both sides run a compatible version" },
	[-TM_ETOOBIG] = { "size limit exceeded",
	    "send less, or split the request" },
	[-TM_ENOENT] = { "no such object", "list the objects of this kind" },
	[-TM_EEXIST] = { "object exists already",
	    "read it and send its version with the change" },
	[-TM_EVERSION] = { "version mismatch",
	    "read the object again and repeat the change on top of it" },
	[-TM_ENOTLEADER] = { "not the leader",
	    "follow the redirect to the leader" },
	[-TM_ETIMEDOUT] = { "deadline passed",
	    "send the same change again with the same change id" },
	[-TM_EFULL] = { "queue or table is full", "retry later" },
	[-TM_EAUTH] = { "authentication failed",
	    "check the secret in the settings of both sides" },
	[-TM_EEPOCH] = { "older epoch", "wait for the newer configuration" },
	[-TM_EREFERENCE] = { "referenced object does not exist",
	    "create the referenced object first" },
	[-TM_EINUSE] = { "object is still in use",
	    "remove the objects that refer to it first" },
	[-TM_ESTALE] = { "lease or token expired", "retry" },
	[-TM_EUNAVAIL] = { "unavailable",
	    "check how many VMs can reach each other" },
	[-TM_ECANCELED] = { "canceled", "" },
	[-TM_EEMPTY] = { "rate exhausted",
	    "wait for the time given in Retry-After" },
};

static const error_entry_t *
error_find(int err)
{
	size_t count = sizeof(error_table) / sizeof(error_table[0]);

	if (err > 0 || (size_t)-err >= count)
		return (NULL);
	return (&error_table[-err]);
}

const char *
error_get_text(int err)
{
	const error_entry_t *entry = error_find(err);

	return (entry != NULL ? entry->text : "unknown error");
}

const char *
error_get_remedy(int err)
{
	const error_entry_t *entry = error_find(err);

	return (entry != NULL ? entry->remedy : "");
}
