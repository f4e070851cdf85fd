/* Stream journal: records that wait, and slots.  */

#include "relay/jrn.h"

#include <string.h>

/* Delay after a write that was not confirmed.  */
#define RETRY_MS 400
/* A key in an object, of 40 bits, the highest byte first.  */
#define KEY_BYTES 5u
/* Base64 turns groups of 3 bytes into 4 characters.  */
#define BASE64_GROUP 4u

typedef struct
{
  uint64_t key;
  org_origin_t origin;
  cfd_time_t at;
} record_t;

typedef struct
{
  bool exists;              /* a write of it was confirmed */
  cfd_time_t last_begun_at; /* of its writes */
} slot_t;

struct jrn
{
  int64_t keep_ms;      /* see jrn_extend_keep_ms */
  GArray *waiting;      /* record_t in no slot, the oldest first */
  GArray *content;      /* record_t of the current slot */
  GArray *slots;        /* slot_t, by number */
  int current;          /* number of the current slot; -1: none */
  cfd_time_t opened_at; /* when it became the current one */
  guint written;        /* records of CONTENT that are confirmed */
  guint written_before; /* the same before the last write */
  bool is_writing;
  cfd_time_t next_write_at;
};

jrn_t *
jrn_new (void)
{
  jrn_t *jrn = g_new0 (jrn_t, 1);

  jrn->keep_ms = JRN_KEEP_MS;
  jrn->waiting = g_array_new (FALSE, FALSE, sizeof (record_t));
  jrn->content = g_array_new (FALSE, FALSE, sizeof (record_t));
  jrn->slots = g_array_new (FALSE, FALSE, sizeof (slot_t));
  jrn->current = -1;
  return jrn;
}

void
jrn_free (jrn_t *jrn)
{
  if (jrn == NULL)
    return;
  g_array_unref (jrn->waiting);
  g_array_unref (jrn->content);
  g_array_unref (jrn->slots);
  g_free (jrn);
}

void
jrn_extend_keep_ms (jrn_t *jrn, int64_t keep_ms)
{
  jrn->keep_ms = MAX (jrn->keep_ms, keep_ms);
}

static int64_t
get_span_ms (const jrn_t *jrn)
{
  return jrn->keep_ms * JRN_SPAN_MS / JRN_KEEP_MS;
}

/* Removes the oldest of the records that wait until at most COUNT are left. */
static void
limit_waiting (jrn_t *jrn, guint count)
{
  if (jrn->waiting->len > count)
    g_array_remove_range (jrn->waiting, 0, jrn->waiting->len - count);
}

void
jrn_add (jrn_t *jrn, cfd_time_t now, uint64_t key, org_origin_t origin)
{
  record_t record = { .key = key, .origin = origin, .at = now };

  /* Removes several at once: each removal moves the rest.  */
  if (jrn->waiting->len >= JRN_MAX_RECORDS)
    limit_waiting (jrn, JRN_MAX_RECORDS - JRN_MAX_RECORDS / 8);
  g_array_append_val (jrn->waiting, record);
}

void
jrn_expire (jrn_t *jrn, cfd_time_t now, int64_t max_age_ms)
{
  guint old = 0;

  while (old < jrn->waiting->len
         && now - g_array_index (jrn->waiting, record_t, old).at > max_age_ms)
    old++;
  limit_waiting (jrn, jrn->waiting->len - old);
}

unsigned
jrn_count_unwritten (const jrn_t *jrn)
{
  return jrn->waiting->len + jrn->content->len - jrn->written;
}

/* Ends the use of the current slot.  Its records that are not written wait for
   the next one.  */
static void
close_slot (jrn_t *jrn)
{
  g_array_prepend_vals (jrn->waiting,
                        &g_array_index (jrn->content, record_t, jrn->written),
                        jrn->content->len - jrn->written);
  limit_waiting (jrn, JRN_MAX_RECORDS);
  g_array_set_size (jrn->content, 0);
  jrn->written = 0;
  jrn->written_before = 0;
  jrn->current = -1;
}

/* Returns the first slot whose records are too old to be needed, and whose
   last write can't be done any more; a new one if there is none, and the
   oldest one when there are too many.  */
static int
find_slot (jrn_t *jrn, cfd_time_t now)
{
  slot_t added = { .exists = false };
  guint oldest = 0;

  for (guint i = 0; i < jrn->slots->len; i++)
    {
      const slot_t *slot = &g_array_index (jrn->slots, slot_t, i);

      if (now - slot->last_begun_at > jrn->keep_ms)
        return (int)i;
      if (slot->last_begun_at
          < g_array_index (jrn->slots, slot_t, oldest).last_begun_at)
        oldest = i;
    }
  if (jrn->slots->len >= JRN_MAX_SLOTS)
    return (int)oldest;
  g_array_append_val (jrn->slots, added);
  return (int)jrn->slots->len - 1;
}

static void
open_slot (jrn_t *jrn, cfd_time_t now)
{
  jrn->current = find_slot (jrn, now);
  jrn->opened_at = now;
}

/* Moves the records that wait to the current slot, as far as there is room. */
static void
fill_slot (jrn_t *jrn)
{
  guint room = JRN_MAX_SLOT_RECORDS - jrn->content->len;
  guint count = MIN (room, jrn->waiting->len);

  g_array_append_vals (jrn->content, jrn->waiting->data, count);
  g_array_remove_range (jrn->waiting, 0, count);
}

static bool
is_span_over (const jrn_t *jrn, cfd_time_t now)
{
  return now - jrn->opened_at >= get_span_ms (jrn)
         || jrn->content->len >= JRN_MAX_SLOT_RECORDS;
}

bool
jrn_begin_write (jrn_t *jrn, cfd_time_t now, jrn_write_t *write)
{
  slot_t *slot;

  if (jrn->is_writing || now < jrn->next_write_at)
    return false;
  if (jrn->current >= 0 && is_span_over (jrn, now))
    close_slot (jrn);
  jrn_expire (jrn, now, jrn->keep_ms);
  if (jrn_count_unwritten (jrn) == 0)
    return false;
  if (jrn->current < 0)
    open_slot (jrn, now);
  fill_slot (jrn);
  slot = &g_array_index (jrn->slots, slot_t, jrn->current);
  slot->last_begun_at = now;
  jrn->is_writing = true;
  jrn->next_write_at = now + JRN_WRITE_INTERVAL_MS;
  *write = (jrn_write_t){ .slot = (unsigned)jrn->current,
                          .records = jrn->content->len,
                          .added = jrn->content->len - jrn->written,
                          .exists = slot->exists };
  return true;
}

void
jrn_end_write (jrn_t *jrn, cfd_time_t now, jrn_result_t result)
{
  slot_t *slot;

  if (!jrn->is_writing)
    return;
  jrn->is_writing = false;
  slot = &g_array_index (jrn->slots, slot_t, jrn->current);
  switch (result)
    {
    case JRN_WRITTEN:
      slot->exists = true;
      jrn->written_before = jrn->written;
      jrn->written = jrn->content->len;
      return;
    case JRN_REFUSED:
      break;
    case JRN_UNKNOWN:
      close_slot (jrn);
      break;
    }
  jrn->next_write_at = now + RETRY_MS;
}

void
jrn_foreach_confirmed (const jrn_t *jrn,
                       void (*each) (void *user, uint64_t key), void *user)
{
  for (guint i = jrn->written_before; i < jrn->written; i++)
    each (user, g_array_index (jrn->content, record_t, i).key);
}

static void
append_key (GByteArray *bytes, uint64_t key)
{
  guint8 packed[KEY_BYTES];

  for (unsigned i = 0; i < KEY_BYTES; i++)
    packed[i] = (guint8)(key >> (8 * (KEY_BYTES - 1 - i)));
  g_byte_array_append (bytes, packed, KEY_BYTES);
}

/* Returns the packed keys of the current slot, by origin.  */
static GHashTable *
pack_keys (const jrn_t *jrn)
{
  GHashTable *by_origin = g_hash_table_new_full (
      g_direct_hash, g_direct_equal, NULL, (GDestroyNotify)g_byte_array_unref);

  for (guint i = 0; i < jrn->content->len; i++)
    {
      const record_t *record = &g_array_index (jrn->content, record_t, i);
      gpointer origin = GUINT_TO_POINTER (record->origin);
      GByteArray *bytes = g_hash_table_lookup (by_origin, origin);

      if (bytes == NULL)
        {
          bytes = g_byte_array_new ();
          g_hash_table_insert (by_origin, origin, bytes);
        }
      append_key (bytes, record->key);
    }
  return by_origin;
}

char *
jrn_format (const jrn_t *jrn)
{
  g_autoptr (GHashTable) by_origin = pack_keys (jrn);
  GString *text = g_string_new ("{\"origins\":[");
  const char *separator = "";
  GHashTableIter each;
  void *origin;
  void *data;

  g_hash_table_iter_init (&each, by_origin);
  while (g_hash_table_iter_next (&each, &origin, &data))
    {
      const GByteArray *bytes = data;
      g_autofree char *keys = g_base64_encode (bytes->data, bytes->len);

      g_string_append_printf (text, "%s{\"origin\":%u,\"keys\":\"%s\"}",
                              separator, GPOINTER_TO_UINT (origin), keys);
      separator = ",";
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

/* Returns whether TEXT is base64 throughout.  GLib's decoder skips what
   isn't, so that the keys after it would be made up of shifted bits.  */
static bool
is_base64 (const char *text)
{
  size_t length = strlen (text);
  size_t padding = 0;

  while (padding < 2 && padding < length && text[length - 1 - padding] == '=')
    padding++;
  for (size_t i = 0; i < length - padding; i++)
    if (!g_ascii_isalnum (text[i]) && text[i] != '+' && text[i] != '/')
      return false;
  return length % BASE64_GROUP == 0;
}

bool
jrn_decode_keys (const char *keys, GArray *out)
{
  g_autofree guchar *bytes = NULL;
  gsize length;

  if (!is_base64 (keys))
    return false;
  bytes = g_base64_decode (keys, &length);
  if (length % KEY_BYTES != 0)
    return false;
  for (gsize i = 0; i < length; i += KEY_BYTES)
    {
      uint64_t key = 0;

      for (unsigned j = 0; j < KEY_BYTES; j++)
        key = key << 8 | bytes[i + j];
      g_array_append_val (out, key);
    }
  return true;
}
