#include "config/rec-text.h"

#include <sodium.h>
#include <string.h>

/* What a shape leaves out.  Its place is marked by the byte of that number,
   which no JSON text has: control characters are escaped there.  */
enum
{
  SLOT_NAME = 1,
  SLOT_VERSION,
  SLOT_REVISION,
  SLOT_KEYS, /* the first of up to KEYS_MAX */
  KEYS_MAX = 4,
  SLOT_END = SLOT_KEYS + KEYS_MAX
};

#define DIGITS_MAX 24

typedef struct
{
  const char *values[SLOT_END]; /* NULL: not there */
  char revision[DIGITS_MAX];
  char keys[KEYS_MAX][REC_KEY_HASH_HEX_SIZE];
} slots_t;

static void
slots_of (const rec_t *record, slots_t *slots)
{
  const rec_account_t *account = &record->u.account;
  bool has_keys = record->kind == REC_ACCOUNT && !record->deleted;
  unsigned keys = has_keys ? MIN (account->key_count, KEYS_MAX) : 0;

  memset (slots, 0, sizeof *slots);
  g_snprintf (slots->revision, sizeof slots->revision, "%" G_GUINT64_FORMAT,
              record->revision);
  slots->values[SLOT_NAME] = record->name;
  slots->values[SLOT_VERSION] = record->version;
  slots->values[SLOT_REVISION] = slots->revision;
  for (unsigned i = 0; i < keys; i++)
    slots->values[SLOT_KEYS + i]
        = sodium_bin2hex (slots->keys[i], sizeof slots->keys[i],
                          account->keys[i].bytes, REC_KEY_HASH_SIZE);
}

/* Whether the value of SLOT stands at AT as a whole JSON value.  */
static bool
stands_at (const char *at, const char *value, int slot)
{
  size_t length = strlen (value);

  if (length == 0 || strncmp (at, value, length) != 0)
    return false;
  if (slot == SLOT_REVISION)
    return at[-1] == ':' && strchr (",}", at[length]) != NULL;
  return at[-1] == '"' && at[length] == '"';
}

static int
slot_at (const slots_t *slots, const char *at)
{
  for (int slot = SLOT_NAME; slot < SLOT_END; slot++)
    if (slots->values[slot] != NULL
        && stands_at (at, slots->values[slot], slot))
      return slot;
  return 0;
}

char *
rec_text_shape (const char *text, const rec_t *record)
{
  g_autoptr (GString) shape = g_string_new (NULL);
  slots_t slots;

  slots_of (record, &slots);
  /* The first byte is the brace of an object: nothing looks before it.  */
  g_string_append_c (shape, *text);
  for (const char *at = text + 1; *at != '\0';)
    {
      int slot = slot_at (&slots, at);

      g_string_append_c (shape, (char)(slot == 0 ? *at : slot));
      at += slot == 0 ? 1 : strlen (slots.values[slot]);
    }
  return g_ref_string_new_intern (shape->str);
}

char *
rec_to_text (const rec_t *record)
{
  GString *text = g_string_new (NULL);
  slots_t slots;

  slots_of (record, &slots);
  for (const char *at = record->shape; *at != '\0'; at++)
    {
      if (*at > 0 && *at < SLOT_END)
        g_string_append (text, slots.values[(int)*at]);
      else
        g_string_append_c (text, *at);
    }
  return g_string_free (text, FALSE);
}
