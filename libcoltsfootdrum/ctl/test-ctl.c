/* cfdctl's pure parts: members from words, hints for misspelt words.  */

#include "ctl/ctl.h"

typedef struct
{
  const char *before;
  const char *word;
  const char *after; /* NULL: refused */
} assign_case_t;

static const assign_case_t assign_cases[] = {
  { "{}", "weight=2", "{\"weight\":2}" },
  { "{}", "zone=bangkok-a", "{\"zone\":\"bangkok-a\"}" },
  { "{\"slots\":{\"max\":8,\"cold\":1}}", "slots.max=16",
    "{\"slots\":{\"max\":16,\"cold\":1}}" },
  { "{}", "slots.max=4", "{\"slots\":{\"max\":4}}" },
  { "{\"later\":[1]}", "weight=3", "{\"later\":[1],\"weight\":3}" },
  { "{\"slots\":8}", "slots.max=4", NULL },
  { "{}", "weight", NULL },
  { "{}", "=2", NULL },
};

static void
test_assign (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (assign_cases); i++)
    {
      const assign_case_t *c = &assign_cases[i];
      g_autoptr (GError) error = NULL;
      g_autoptr (JsonNode) node = json_from_string (c->before, NULL);
      g_autofree char *after = NULL;
      bool done
          = ctl_spec_assign (json_node_get_object (node), c->word, &error);

      g_test_message ("%s %s", c->before, c->word);
      g_assert_true (done == (c->after != NULL));
      if (!done)
        {
          g_assert_error (error, CFD_ERROR, CFD_ERROR_RECORD);
          continue;
        }
      after = json_to_string (node, FALSE);
      g_assert_cmpstr (after, ==, c->after);
    }
}

static void
test_nearest (void)
{
  const char *const words[] = { "endpoint", "service", NULL };

  g_assert_cmpstr (ctl_nearest ("endpiont", words), ==, "endpoint");
  g_assert_cmpstr (ctl_nearest ("servce", words), ==, "service");
  g_assert_null (ctl_nearest ("zebra", words));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ctl/assign", test_assign);
  g_test_add_func ("/ctl/nearest", test_nearest);
  return g_test_run ();
}
