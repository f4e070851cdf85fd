/* Origins.  Knows at which software version each stream began, so that a
   broken one is resumed at that version only.

   Load pattern: endpoints of several versions of a service serve side by side,
   and a router or an endpoint fails.  All of its streams break at once, and
   their callers resume them at any router.  What two versions write doesn't
   fit together, and endpoints don't check it.

   Each router records the origin of the streams that it began.  While a
   service has several versions, or a route several services, it also sends
   them to the other routers, as soon as a stream's first event is passed on.

   The register of versions outlives all routers: per service, the versions at
   which a stream that may still be resumed can have begun.  A stream of which
   no record exists belongs to the only registered version of the only service
   that its route has had lately (relay/rth.h); with several, it isn't known to
   which.  */

#ifndef RELAY_ORG_H
#define RELAY_ORG_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A service and a version of its software, as a hash; never 0.  */
typedef uint32_t org_origin_t;
#define ORG_ANY 0u
/* Recorded for a stream of an unknown version: no endpoint continues it.  */
#define ORG_UNMATCHED UINT32_MAX

/* Returns the origin of streams that endpoints of VERSION of SERVICE begin.
   NULL, not reported, is a version like any other.  */
org_origin_t org_hash (const char *service, const char *version);
/* Returns the key of the stream that was begun in answer to the request ID. */
uint64_t org_stream_key (const char *id);

/* What a router concludes for a request that resumes a stream.  */
typedef enum
{
  ORG_RECORDED, /* its origin is on record */
  ORG_SOLE,     /* only one version can have begun it */
  ORG_UNKNOWN   /* several can have, and no endpoint may continue it */
} org_ground_t;

typedef struct
{
  org_ground_t ground;
  org_origin_t origin; /* whose endpoints alone may continue it */
} org_verdict_t;

typedef struct
{
  org_origin_t origin; /* as recorded; ORG_ANY: not recorded */
  org_origin_t sole;   /* of its only service, see org_get_sole */
  bool knows_versions; /* the register here may lack no version */
} org_inputs_t;

org_verdict_t org_decide (const org_inputs_t *inputs);

/* Least time for which a stream may still be resumed.  */
#define ORG_STREAM_KEEP_MS 20000

typedef struct org org_t;
typedef struct jrn jrn_t;

org_t *org_new (void);
void org_free (org_t *org);

/* Sets for how long a stream may still be resumed after its first event.  It
   is never shortened: streams that began before last as long as they could. */
void org_extend_keep_ms (org_t *org, int64_t keep_ms);
int64_t org_get_keep_ms (const org_t *org);

/* Lists the versions that are in service: begin, one call for each endpoint,
   end.  A version that is no longer listed counts for some time yet.  NULL is
   a version that isn't reported.  */
void org_begin_versions (org_t *org);
void org_list_version (org_t *org, const char *service, const char *version);
void org_end_versions (org_t *org, cfd_time_t now);

/* Sets the register likewise, as it was read.  Unless it IS_WHOLE, a part of
   it couldn't be read: the versions registered before stay, and the register
   isn't known.  A registered version that was never listed here counts as
   having left service at NOW.  */
void org_begin_register (org_t *org);
void org_register_version (org_t *org, const char *service,
                           const char *version);
void org_end_register (org_t *org, cfd_time_t now, bool is_whole);
/* Returns whether the whole register was read.  */
bool org_knows_register (const org_t *org);
bool org_is_registered (const org_t *org, const char *service,
                        org_origin_t origin);
/* Returns the number of registered versions of SERVICE; NULL: of all.  */
unsigned org_count_registered (const org_t *org, const char *service);
/* Returns the only version of SERVICE at which a stream that may still be
   resumed can have begun; ORG_ANY if there are several, none is registered, or
   the register isn't known.  */
org_origin_t org_get_sole (const org_t *org, const char *service);
/* Calls EACH, which may be NULL, for the versions that ought to be registered:
   those that are listed or left lately, and, unless IS_LIST_CURRENT, all that
   are registered.  Returns whether they are other ones than those
   registered.  */
bool org_foreach_due (const org_t *org, cfd_time_t now, bool is_list_current,
                      void (*each) (void *user, const char *service,
                                    const char *version),
                      void *user);

/* Sets whether the versions listed and registered last may lack none that
   another router uses.  */
void org_set_knows_versions (org_t *org, bool knows);
bool org_knows_versions (const org_t *org);
/* Returns whether SERVICE has several versions, or had them while a stream
   that is resumed now may have begun.  */
bool org_is_mixed (const org_t *org, cfd_time_t now, const char *service);

/* Sets until when a resumable route counts as having several services
   (rth_get_several_until).  When IS_WIDER, a route gets one more: the streams
   that began here lately are published.  */
void org_set_several_until (org_t *org, cfd_time_t now, cfd_time_t until,
                            bool is_wider);
/* Returns whether any service is mixed, or a resumable route counts as having
   several services.  */
bool org_is_any_mixed (const org_t *org, cfd_time_t now);

/* Adds the records to be stored to JRN, which is not owned; NULL: to none.  */
void org_set_journal (org_t *org, jrn_t *jrn);

/* A stream of this router whose first event waits until its record is stored.
   The record is sent again until then, as datagrams may be lost.  */
typedef struct
{
  uint64_t key;
  org_origin_t origin;
  cfd_time_t at;
} org_awaited_t;

/* Longest time for which a record is sent again.  */
#define ORG_AWAIT_MS 1000

/* Adds the stream KEY, which is recorded.  */
void org_await (org_t *org, cfd_time_t now, uint64_t key, org_origin_t origin);
/* Returns those that are not stored, valid until the next call.  */
const GArray *org_get_awaited (org_t *org, cfd_time_t now);

/* Records that the journal has stored this router's record of stream KEY, as
   another router that wrote it reports.  Ignored for a stream that didn't
   begin here.  */
void org_note_stored (org_t *org, cfd_time_t now, uint64_t key);
/* The same as this router has written it.  It is reported to the others if it
   began at one that awaits that.  */
void org_add_stored (org_t *org, cfd_time_t now, uint64_t key);
/* Calls CALLBACK for each stream of this router that was stored.  */
void org_set_stored_callback (org_t *org,
                              void (*callback) (void *user, cfd_time_t now,
                                                uint64_t key),
                              void *user);

/* A record that this router has stored, to be reported to the others.  */
typedef struct
{
  uint64_t key;
  uint64_t number; /* sequence number */
  cfd_time_t at;
} org_stored_t;

/* Returns the reports of the last ORG_UPDATE_KEEP_MS, the oldest first, valid
   until the next call.  */
const GArray *org_get_stored (org_t *org, cfd_time_t now);
/* Returns the sequence number of the last one; 0: none.  */
uint64_t org_get_last_stored (const org_t *org);
/* Returns whether records are added to a journal that is in use.  */
bool org_is_storing (const org_t *org, cfd_time_t now);
/* Sets whether stored records are still to be read.  */
void org_set_loading (org_t *org, bool is_loading);
bool org_is_loading (const org_t *org);

/* Records that this router began stream KEY at ORIGIN.  When PUBLISHED, the
   other routers are to learn it.  */
void org_add (org_t *org, cfd_time_t now, uint64_t key, org_origin_t origin,
              bool published);
/* Records the same of another router's stream.  Ignored when this router has
   a record of its own, or for ORG_ANY, as in a malformed datagram.  */
void org_add_peer (org_t *org, cfd_time_t now, uint64_t key,
                   org_origin_t origin);
/* The same of a router of this one's cell, which the cell is to store.  */
void org_add_near (org_t *org, cfd_time_t now, uint64_t key,
                   org_origin_t origin);
/* The same of a stream whose router awaits that its record is stored; it is
   told so once more if it was.  */
void org_add_near_awaited (org_t *org, cfd_time_t now, uint64_t key,
                           org_origin_t origin);
typedef struct
{
  org_origin_t origin; /* ORG_ANY: the stream isn't recorded */
  bool is_own;         /* it began here; otherwise another router reported */
  int64_t age_ms;      /* of the record */
  bool is_stored;      /* see org_note_stored */
} org_record_t;

/* Returns what is recorded of stream KEY.  */
org_record_t org_find (const org_t *org, cfd_time_t now, uint64_t key);

/* An origin to send to the other routers.  */
typedef struct
{
  uint64_t key;
  org_origin_t origin;
  uint64_t number; /* sequence number */
  cfd_time_t at;
} org_update_t;

/* Returns the updates of the last ORG_UPDATE_KEEP_MS, the oldest first, valid
   until the next call.  */
#define ORG_UPDATE_KEEP_MS 4000
const GArray *org_updates (org_t *org, cfd_time_t now);

/* A version that left service lately.  A router that has just started can't
   know it from the list.  */
typedef struct
{
  uint64_t service; /* hash of its name */
  org_origin_t origin;
  int64_t retired_ms; /* since it left */
} org_retired_t;

/* Calls EACH for the versions that left service lately, as this router's list
   showed.  What others report isn't passed on: a report is late by the delay
   of its datagram, so that reports of reports would never end.  */
void org_foreach_retired (const org_t *org, cfd_time_t now,
                          void (*each) (void *user,
                                        const org_retired_t *retired),
                          void *user);
/* Records a version that left service, as another router reports.  Ignored for
   a service that isn't listed here.  */
void org_add_retired (org_t *org, cfd_time_t now,
                      const org_retired_t *retired);

/* Removes what is too old to be needed.  */
void org_sweep (org_t *org, cfd_time_t now);
unsigned org_count_streams (const org_t *org);

#endif
