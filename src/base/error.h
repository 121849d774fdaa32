/**
 * @file
 * Error numbers. Functions that can fail return 0 or a positive result on
 * success and one of these negative numbers on failure.
 */
#ifndef TM_BASE_ERROR_H
#define TM_BASE_ERROR_H

/** Error numbers; the values are stable because they appear in logs. */
typedef enum tm_error {
	TM_OK = 0,
	TM_ENOMEM = -1, /**< memory exhausted */
	TM_EINVAL = -2, /**< argument outside its allowed range */
	TM_EIO = -3, /**< read, write or fsync failed */
	TM_ECORRUPT = -4, /**< stored bytes fail their checksum */
	TM_EFORMAT = -5, /**< bytes from outside are malformed */
	TM_ETOOBIG = -6, /**< a stated size limit is exceeded */
	TM_ENOENT = -7, /**< no such object */
	TM_EEXIST = -8, /**< the object exists already */
	TM_EVERSION = -9, /**< the expected version does not match */
	TM_ENOTLEADER = -10, /**< another node is the leader */
	TM_ETIMEDOUT = -11, /**< the deadline passed */
	TM_EFULL = -12, /**< a bounded queue or table is full */
	TM_EAUTH = -13, /**< the peer or caller failed authentication */
	TM_EEPOCH = -14, /**< the message belongs to an older epoch */
	TM_EREFERENCE = -15, /**< a referenced object does not exist */
	TM_EINUSE = -16, /**< the object is still referenced */
	TM_ESTALE = -17, /**< a lease, token or incarnation has expired */
	TM_EUNAVAIL = -18, /**< no quorum, leader or target is available */
	TM_ECANCELED = -19, /**< the caller went away or the node stops */
	TM_EEMPTY = -20 /**< the fleet is out of tokens for the workspace */
} tm_error_t;

/**
 * Short description of an error number.
 *
 * @param err  negative error number or 0
 * @return     static text; "unknown error" for other values
 */
const char *error_get_text(int err);

/**
 * What an operator can do about an error.
 *
 * @param err  negative error number or 0
 * @return     static text; empty if there is nothing to do
 */
const char *error_get_remedy(int err);

#endif
