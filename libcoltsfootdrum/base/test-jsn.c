/* Parsing of JSON from the network: its nesting, and what is not JSON.  */

#include "base/jsn.h"
#include <string.h>

/* Bytes of the largest request body.  */
#define MAX_TEXT_BYTES 1000000

static const struct
{
  const char *text;
  bool is_shallow;
} cases[] = {
  { "", true },           { "{\"a\":[1,{\"b\":\"/'#[[[[\"}]}", true },
  { "\"\\\"[[\"", true }, { "\"\\", true },
  { "]]}}[", true },      { "/*\"*/[", false },
  { "//\"\n[", false },   { "'\"'[", false },
  { "#\"\n[", false },
};

static void
test_cases (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    g_assert_cmpint (jsn_is_shallow (cases[i].text, strlen (cases[i].text)),
                     ==, cases[i].is_shallow);
}

static char *
make_nested (unsigned depth)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 0; i < depth; i++)
    g_string_append_c (text, '[');
  for (unsigned i = 0; i < depth; i++)
    g_string_append_c (text, ']');
  return g_string_free (text, FALSE);
}

static void
test_depth (void)
{
  g_autofree char *deepest = make_nested (JSN_MAX_DEPTH);
  g_autofree char *deeper = make_nested (JSN_MAX_DEPTH + 1);
  g_autoptr (JsonNode) node = jsn_parse (deepest, NULL);
  g_autoptr (GError) error = NULL;

  g_assert_nonnull (node);
  g_assert_null (jsn_parse (deeper, &error));
  g_assert_nonnull (strstr (error->message, "nested deeper"));
}

/* A request body of brackets overflowed the stack and ended the process.  */
static void
test_long_rows (void)
{
  static const char *const units[] = { "[", "{\"a\":", "[{\"a\":", "[[]," };

  for (unsigned i = 0; i < G_N_ELEMENTS (units); i++)
    {
      g_autoptr (GString) text = g_string_new (NULL);

      while (text->len < MAX_TEXT_BYTES)
        g_string_append (text, units[i]);
      g_assert_null (jsn_parse (text->str, NULL));
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/jsn/cases", test_cases);
  g_test_add_func ("/jsn/depth", test_depth);
  g_test_add_func ("/jsn/long-rows", test_long_rows);
  return g_test_run ();
}
