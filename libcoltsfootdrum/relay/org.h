/* Origins.  Knows at which software version each stream began, so that a
   broken one is resumed at that version only.

   Load pattern: endpoints of several versions of a service serve side by side,
   and a router or an endpoint fails.  All of its streams break at once, and
   their callers resume them at any router.  What two versions write doesn't
   fit together, and endpoints don't check it.

   Each router records the origin of the streams that it began.  While a
   service has several versions, it also sends them to the other routers, as
   soon as a stream's first event is passed on; while it has one, any of its
   endpoints will do and nothing is sent.  */

#ifndef RELAY_ORG_H
#define RELAY_ORG_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A service and a version of its software, as a hash; never 0.  */
typedef uint32_t org_origin_t;
#define ORG_ANY 0u

/* Returns the origin of streams that endpoints of VERSION of SERVICE begin.
   NULL, not reported, is a version like any other.  */
org_origin_t org_hash (const char *service, const char *version);
/* Returns the key of the stream that was begun in answer to the request ID. */
uint64_t org_stream_key (const char *id);

/* What a router concludes for a request that resumes a stream.  */
typedef enum
{
  ORG_FREE,   /* any endpoint may continue it */
  ORG_BOUND,  /* only those of its origin may */
  ORG_UNKNOWN /* some may not, and it isn't known which */
} org_verdict_t;

typedef struct
{
  org_origin_t origin; /* as recorded; ORG_ANY: not recorded */
  bool is_mixed;       /* the service has, or had lately, several versions */
  bool knows_versions; /* the list of endpoints may lack no version */
} org_inputs_t;

org_verdict_t org_decide (const org_inputs_t *inputs);

typedef struct org org_t;
typedef struct jrn jrn_t;

org_t *org_new (void);
void org_free (org_t *org);

/* Lists the versions that are in service: begin, one call for each endpoint,
   end.  A version that is no longer listed counts for some time yet.  */
void org_begin_versions (org_t *org);
void org_list_version (org_t *org, const char *service, org_origin_t origin);
void org_end_versions (org_t *org, cfd_time_t now);
/* Sets whether the versions listed last may lack none that another router
   uses.  */
void org_set_knows_versions (org_t *org, bool knows);
bool org_knows_versions (const org_t *org);
/* Returns whether SERVICE has several versions, or had them while a stream
   that is resumed now may have begun.  */
bool org_is_mixed (const org_t *org, cfd_time_t now, const char *service);

/* Returns the same of any service.  */
bool org_is_any_mixed (const org_t *org, cfd_time_t now);

/* Adds the records to be stored to JRN, which is not owned; NULL: to none.  */
void org_set_journal (org_t *org, jrn_t *jrn);
/* Sets whether stored records are still to be read.  */
void org_set_loading (org_t *org, bool is_loading);
bool org_is_loading (const org_t *org);

/* Records that this router began stream KEY at ORIGIN.  When PUBLISHED, the
   other routers are to learn it.  */
void org_add (org_t *org, cfd_time_t now, uint64_t key, org_origin_t origin,
              bool published);
/* Records the same of another router's stream.  */
void org_add_peer (org_t *org, cfd_time_t now, uint64_t key,
                   org_origin_t origin);
/* The same of a router of this one's cell, which the cell is to store.  */
void org_add_near (org_t *org, cfd_time_t now, uint64_t key,
                   org_origin_t origin);
typedef struct
{
  org_origin_t origin; /* ORG_ANY: the stream isn't recorded */
  bool is_own;         /* it began here; otherwise another router reported */
  int64_t age_ms;      /* of the record */
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

/* Calls EACH for the versions that left service lately.  */
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
