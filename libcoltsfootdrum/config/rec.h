/* Configuration records, one tagged union.  Each carries a schema version;
   readers accept versions 1 and 2 of each and keep unknown members when they
   rewrite.  Sizes are in requests, tokens and milliseconds.

   client-account  v1 {"schema":1,"weight":2,"key_hash":HEX}
                   v2 {"schema":2,"weight":2,"keys":[{"hash":HEX}...],
                       "queue_max":200}       several keys, for their rotation
   service         v1 {"schema":1,"type":"model"|"plain",
                       "idempotent":["GET /past/", ...]}
                   v2 {"schema":2,"type":..., "rules":[{"method":"GET",
                       "prefix":"/past/","idempotent":true}...],
                       "classes":["full-shift","quick"]}
   availability-zone v1 {"schema":1,"out":false}
                   v2 {"schema":2,"state":"in"|"out","region":"th"}
   endpoint        v1 {"schema":1,"service":S,"zone":Z,"url":U,"slots":8}
                   v2 {"schema":2,"service":S,"zone":Z,"url":U,
                       "slots":{"max":8,"cold":1},"state":"in"|"leaving"}

   A key hash is the lower-case hex of crypto_generichash (32 bytes) of the
   caller's key.  */

#ifndef CONFIG_REC_H
#define CONFIG_REC_H

#include "base/err.h"
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  REC_ACCOUNT = 1,
  REC_SERVICE,
  REC_ZONE,
  REC_ENDPOINT
} rec_kind_t;

#define REC_KEY_HASH_SIZE 32
#define REC_KEY_HASH_HEX_SIZE (REC_KEY_HASH_SIZE * 2 + 1)

/* The hash of a caller's key.  */
typedef struct
{
  unsigned char bytes[REC_KEY_HASH_SIZE];
} rec_key_hash_t;

typedef struct
{
  double weight;
  unsigned queue_max;
  unsigned key_count;
  rec_key_hash_t *keys;
} rec_account_t;

typedef struct
{
  char *method; /* "*" is any */
  char *prefix;
  bool idempotent;
} rec_rule_t;

typedef struct
{
  bool is_model;
  GPtrArray *rules; /* of rec_rule_t */
  GStrv classes;    /* best first; the first is for full-shift work */
} rec_service_t;

typedef struct
{
  bool out;
  char *region;
} rec_zone_t;

typedef struct
{
  char *service;
  char *zone;
  char *url;
  unsigned slots_max;
  unsigned slots_cold; /* what it bears in cold start */
  bool leaving;
} rec_endpoint_t;

typedef struct
{
  rec_kind_t kind;
  char *name;    /* a GRefString */
  char *version; /* the platform's */
  uint64_t revision;
  bool deleted;
  char *shape; /* of the text, see rec-text.h */
  union
  {
    rec_account_t account;
    rec_service_t service;
    rec_zone_t zone;
    rec_endpoint_t endpoint;
  } u;
} rec_t;

/* Parses a platform object.  CFD_ERROR_RECORD names the member and remedy. */
rec_t *rec_parse (JsonObject *object, GError **error);
void rec_free (rec_t *record);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (rec_t, rec_free)

/* The platform object's text, unchanged, for peers; free with g_free.  */
char *rec_to_text (const rec_t *record);

/* "client-account", "service", "availability-zone", "endpoint".  */
const char *rec_kind_name (rec_kind_t kind);
bool rec_kind_parse (const char *text, rec_kind_t *kind);

/* Whether a call of METHOD on PATH may be repeated.  Model services always
   may; plain ones by their rules, and not where no rule matches.  */
bool rec_service_is_idempotent (const rec_service_t *service,
                                const char *method, const char *path);

/* Rank of class NAME, the last rank when unknown or NULL.  */
unsigned rec_service_get_class_rank (const rec_service_t *service,
                                     const char *name);

/* Whether KEY is one of the account's, in constant time for each hash.  */
bool rec_account_has_key (const rec_account_t *account, const char *key);
/* The hash to store for KEY; free with g_free.  */
char *rec_hash_key_to_hex (const char *key);
void rec_hash_key (const char *key, rec_key_hash_t *hash);

#endif
