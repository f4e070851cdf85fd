#include "config/rec-text.h"

#include <sodium.h>
#include <string.h>

/* What a shape leaves out.  Its place is marked by the byte of that number,
   which no JSON text has: control characters are escaped there.  */
enum
{
  PLACEHOLDER_NAME = 1,
  PLACEHOLDER_VERSION,
  PLACEHOLDER_REVISION,
  PLACEHOLDER_KEYS, /* the first of up to KEYS_MAX */
  MAX_TEMPLATE_KEYS = 4,
  PLACEHOLDER_END = PLACEHOLDER_KEYS + MAX_TEMPLATE_KEYS
};

#define REVISION_TEXT_SIZE 24

typedef struct
{
  const char *values[PLACEHOLDER_END]; /* NULL: not there */
  char revision[REVISION_TEXT_SIZE];
  char keys[MAX_TEMPLATE_KEYS][REC_KEY_HASH_HEX_SIZE];
} template_values_t;

static void
collect_values (const rec_t *record, template_values_t *template)
{
  const rec_account_t *account = &record->u.account;
  bool has_keys = record->kind == REC_ACCOUNT && !record->deleted;
  unsigned keys = has_keys ? MIN (account->key_count, MAX_TEMPLATE_KEYS) : 0;

  memset (template, 0, sizeof *template);
  g_snprintf (template->revision, sizeof template->revision,
              "%" G_GUINT64_FORMAT, record->revision);
  template->values[PLACEHOLDER_NAME] = record->name;
  template->values[PLACEHOLDER_VERSION] = record->version;
  template->values[PLACEHOLDER_REVISION] = template->revision;
  for (unsigned i = 0; i < keys; i++)
    template->values[PLACEHOLDER_KEYS + i]
        = sodium_bin2hex (template->keys[i], sizeof template->keys[i],
                          account->keys[i].bytes, REC_KEY_HASH_SIZE);
}

/* Whether the value of SLOT stands at AT as a whole JSON value.  */
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
find_placeholder (const template_values_t *template, const char *pos)
{
  for (int placeholder = PLACEHOLDER_NAME; placeholder < PLACEHOLDER_END;
       placeholder++)
    if (template->values[placeholder] != NULL
        && is_value_at (pos, template->values[placeholder], placeholder))
      return placeholder;
  return 0;
}

char *
rec_text_make_template (const char *text, const rec_t *record)
{
  g_autoptr (GString) text_template = g_string_new (NULL);
  template_values_t template;

  collect_values (record, &template);
  /* The first byte is the brace of an object: nothing looks before it.  */
  g_string_append_c (text_template, *text);
  for (const char *pos = text + 1; *pos != '\0';)
    {
      int placeholder = find_placeholder (&template, pos);

      g_string_append_c (text_template,
                         (char)(placeholder == 0 ? *pos : placeholder));
      pos += placeholder == 0 ? 1 : strlen (template.values[placeholder]);
    }
  return g_ref_string_new_intern (text_template->str);
}

char *
rec_to_text (const rec_t *record)
{
  GString *text = g_string_new (NULL);
  template_values_t template;

  collect_values (record, &template);
  for (const char *pos = record->text_template; *pos != '\0'; pos++)
    {
      if (*pos > 0 && *pos < PLACEHOLDER_END)
        g_string_append (text, template.values[(int)*pos]);
      else
        g_string_append_c (text, *pos);
    }
  return g_string_free (text, FALSE);
}
