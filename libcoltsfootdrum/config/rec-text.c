#include "config/rec-text.h"

#include <sodium.h>
#include <string.h>

/* Placeholders of a template.  Each is a byte of this value, which doesn't
   occur in JSON text, where control characters are escaped.  */
enum
{
  PLACEHOLDER_NAME = 1,
  PLACEHOLDER_VERSION,
  PLACEHOLDER_REVISION,
  PLACEHOLDER_KEYS, /* the first of MAX_TEMPLATE_KEYS */
  MAX_TEMPLATE_KEYS = 4,
  PLACEHOLDER_END = PLACEHOLDER_KEYS + MAX_TEMPLATE_KEYS
};

#define REVISION_TEXT_SIZE 24

typedef struct
{
  const char *values[PLACEHOLDER_END]; /* NULL when absent */
  char revision[REVISION_TEXT_SIZE];
  char keys[MAX_TEMPLATE_KEYS][REC_KEY_HASH_HEX_SIZE];
} substitutions_t;

static void
collect_substitutions (const rec_t *record, substitutions_t *subst)
{
  const rec_account_t *account = &record->u.account;
  bool has_keys = record->kind == REC_ACCOUNT && !record->deleted;
  unsigned keys = has_keys ? MIN (account->key_count, MAX_TEMPLATE_KEYS) : 0;

  memset (subst, 0, sizeof *subst);
  g_snprintf (subst->revision, sizeof subst->revision, "%" G_GUINT64_FORMAT,
              record->revision);
  subst->values[PLACEHOLDER_NAME] = record->name;
  subst->values[PLACEHOLDER_VERSION] = record->version;
  subst->values[PLACEHOLDER_REVISION] = subst->revision;
  for (unsigned i = 0; i < keys; i++)
    subst->values[PLACEHOLDER_KEYS + i]
        = sodium_bin2hex (subst->keys[i], sizeof subst->keys[i],
                          account->keys[i].bytes, REC_KEY_HASH_SIZE);
}

/* Returns whether VALUE, that of PLACEHOLDER, is the whole JSON value at
   POS.  */
static bool
is_value_at (const char *pos, const char *value, int placeholder)
{
  size_t length = strlen (value);

  if (length == 0 || strncmp (pos, value, length) != 0)
    return false;
  if (placeholder == PLACEHOLDER_REVISION)
    return pos[-1] == ':' && strchr (",}", pos[length]) != NULL;
  return pos[-1] == '"' && pos[length] == '"';
}

static int
find_placeholder (const substitutions_t *subst, const char *pos)
{
  for (int placeholder = PLACEHOLDER_NAME; placeholder < PLACEHOLDER_END;
       placeholder++)
    if (subst->values[placeholder] != NULL
        && is_value_at (pos, subst->values[placeholder], placeholder))
      return placeholder;
  return 0;
}

char *
rec_text_make_template (const char *text, const rec_t *record)
{
  g_autoptr (GString) text_template = g_string_new (NULL);
  substitutions_t subst;

  collect_substitutions (record, &subst);
  /* The first byte is the brace of the object, so is_value_at never reads
     before the text.  */
  g_string_append_c (text_template, *text);
  for (const char *pos = text + 1; *pos != '\0';)
    {
      int placeholder = find_placeholder (&subst, pos);

      g_string_append_c (text_template,
                         (char)(placeholder == 0 ? *pos : placeholder));
      pos += placeholder == 0 ? 1 : strlen (subst.values[placeholder]);
    }
  return g_ref_string_new_intern (text_template->str);
}

char *
rec_to_text (const rec_t *record)
{
  GString *text = g_string_new (NULL);
  substitutions_t subst;

  collect_substitutions (record, &subst);
  for (const char *pos = record->text_template; *pos != '\0'; pos++)
    {
      if (*pos > 0 && *pos < PLACEHOLDER_END)
        g_string_append (text, subst.values[(int)*pos]);
      else
        g_string_append_c (text, *pos);
    }
  return g_string_free (text, FALSE);
}
