/* Configuration records as a tagged union.  Each record carries a schema
   version; readers accept versions 1 and 2 of each kind and keep unknown
   members when they write a record again.  Sizes are in requests, tokens and
   milliseconds.

   client-account  v1 {"schema":1,"weight":2,"key_hash":HEX}
                   v2 {"schema":2,"weight":2,"keys":[{"hash":HEX}...],
                       "queue_max":200}       several keys allow key rotation
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

   A key hash is crypto_generichash (32 bytes) of a client's API key, in
   lower-case hex.  */

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

/* The hash of a client's API key.  */
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
  char *method; /* "*" matches any method */
  char *prefix;
  bool idempotent;
} rec_rule_t;

typedef struct
{
  bool is_model;
  GPtrArray *rules; /* of rec_rule_t */
  GStrv classes;    /* highest priority first; the first is full-shift work */
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
  unsigned slots_cold; /* concurrent requests during a cold start */
  bool leaving;
} rec_endpoint_t;

typedef struct
{
  rec_kind_t kind;
  char *name;    /* a GRefString */
  char *version; /* assigned by the platform */
  uint64_t revision;
  bool deleted;
  char *text_template; /* of the JSON text, see rec-text.h */
  union
  {
    rec_account_t account;
    rec_service_t service;
    rec_zone_t zone;
    rec_endpoint_t endpoint;
  } u;
} rec_t;

/* Parses a platform object.  On failure the message of CFD_ERROR_RECORD names
   the invalid member and says how to correct it.  */
rec_t *rec_parse (JsonObject *object, GError **error);
void rec_free (rec_t *record);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (rec_t, rec_free)

/* Returns the platform object's JSON text, byte for byte, to send to peers;
   free with g_free.  */
char *rec_to_text (const rec_t *record);

/* Returns "client-account", "service", "availability-zone" or "endpoint".  */
const char *rec_kind_name (rec_kind_t kind);
bool rec_kind_parse (const char *text, rec_kind_t *kind);

/* Returns whether a request of METHOD on PATH may be repeated.  Requests to
   model services always may; those to plain services only if the first rule
   that matches says so.  */
bool rec_service_is_idempotent (const rec_service_t *service,
                                const char *method, const char *path);

/* Returns the rank of class NAME, or the last rank if NAME is unknown or
   NULL.  */
unsigned rec_service_get_class_rank (const rec_service_t *service,
                                     const char *name);

/* Returns whether KEY is one of the account's keys.  Each hash is compared in
   constant time.  */
bool rec_account_has_key (const rec_account_t *account, const char *key);
/* Returns the hash of KEY as it is stored in records; free with g_free.  */
char *rec_hash_key_to_hex (const char *key);
void rec_hash_key (const char *key, rec_key_hash_t *hash);

#endif
