/* Records of both schema versions side by side, and bad ones.  */

#include "config/rec.h"

#include <string.h>

#define HASH_A                                                                \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define HASH_B                                                                \
  "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

static rec_t *
parse (const char *kind, const char *spec, GError **error)
{
  g_autofree char *text = g_strdup_printf (
      "{\"kind\":\"%s\",\"name\":\"n\",\"version\":\"v\",\"revision\":7,"
      "\"spec\":%s}",
      kind, spec);
  g_autoptr (JsonNode) root = json_from_string (text, NULL);

  g_assert_nonnull (root);
  return rec_parse (json_node_get_object (root), error);
}

static rec_t *
parse_good (const char *kind, const char *spec)
{
  g_autoptr (GError) error = NULL;
  rec_t *record = parse (kind, spec, &error);

  g_assert_no_error (error);
  g_assert_cmpstr (record->name, ==, "n");
  g_assert_cmpuint (record->revision, ==, 7);
  return record;
}

/* Each byte of the account's key number INDEX is BYTE.  */
static void
assert_key (const rec_t *record, unsigned index, unsigned char byte)
{
  for (unsigned i = 0; i < REC_KEY_HASH_SIZE; i++)
    g_assert_cmpuint (record->u.account.keys[index].bytes[i], ==, byte);
}

static void
test_account (void)
{
  g_autoptr (rec_t) v1
      = parse_good ("client-account",
                    "{\"schema\":1,\"weight\":2,\"key_hash\":\"" HASH_A "\"}");
  g_autoptr (rec_t) v2 = parse_good (
      "client-account",
      "{\"schema\":2,\"weight\":0.5,\"keys\":[{\"hash\":\"" HASH_A "\"},"
      "{\"hash\":\"" HASH_B "\"}],\"queue_max\":9,\"later\":[1]}");
  g_autofree char *text = NULL;

  g_assert_cmpfloat (v1->u.account.weight, ==, 2);
  g_assert_cmpuint (v1->u.account.queue_max, ==, 200);
  g_assert_cmpuint (v1->u.account.key_count, ==, 1);
  assert_key (v1, 0, 0xaa);
  g_assert_cmpfloat (v2->u.account.weight, ==, 0.5);
  g_assert_cmpuint (v2->u.account.queue_max, ==, 9);
  g_assert_cmpuint (v2->u.account.key_count, ==, 2);
  assert_key (v2, 0, 0xaa);
  assert_key (v2, 1, 0xbb);
  /* A member of a newer writer is passed on unchanged.  */
  text = rec_to_text (v2);
  g_assert_nonnull (strstr (text, "\"later\":[1]"));
}

static const char *const texts[] = {
  /* Members in another order, and unknown ones with the values left out.  */
  "{\"revision\":7,\"x\":7,\"y\":[7,17,77],\"spec\":{\"key_hash\":\"" HASH_A
  "\",\"again\":\"" HASH_A "\",\"weight\":0.1,\"schema\":1},\"version\":\"7\","
  "\"name\":\"7\",\"kind\":\"client-account\"}",
  /* A name that is a member's too, and one that is written with escapes.  */
  "{\"kind\":\"client-account\",\"name\":\"weight\",\"version\":\"weight\","
  "\"revision\":1,\"spec\":{\"schema\":2,\"weight\":1e3,\"keys\":[]}}",
  "{\"kind\":\"client-account\",\"name\":\"a\\\"\\u0001\\\\\",\"version\":"
  "\"\","
  "\"revision\":12,\"spec\":{\"schema\":2,\"weight\":1,\"keys\":[]}}",
  /* More keys than there are marks, one of them twice.  */
  "{\"kind\":\"client-account\",\"name\":\"n\",\"revision\":1,\"spec\":{"
  "\"schema\":2,\"weight\":1,\"keys\":[{\"hash\":\"" HASH_A
  "\"},{\"hash\":\"" HASH_B "\",\"note\":\"" HASH_B "\"},{\"hash\":\"" HASH_A
  "\"},{\"hash\":\"" HASH_A "\"},{\"hash\":\"" HASH_B "\"}]}}",
  "{\"kind\":\"endpoint\",\"name\":\"gone\",\"revision\":9,\"deleted\":true}",
};

static void
test_text (void)
{
  /* A record goes through a process that keeps only its parsed form and a
     shape.  Peers must get what the platform would have told them, to the
     byte, or a newer process behind this one reads another record.  */
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_autoptr (JsonNode) root = json_from_string (texts[i], NULL);
      g_autofree char *before = json_to_string (root, FALSE);
      g_autoptr (rec_t) record = rec_parse (json_node_get_object (root), NULL);
      g_autofree char *after = NULL;

      g_assert_nonnull (record);
      after = rec_to_text (record);
      g_assert_cmpstr (after, ==, before);
    }
}

static void
test_shared_shape (void)
{
  /* What makes 18,000 accounts small: they differ in marks alone.  */
  g_autoptr (rec_t) first
      = parse_good ("client-account",
                    "{\"schema\":1,\"weight\":2,\"key_hash\":\"" HASH_A "\"}");
  g_autoptr (rec_t) second
      = parse_good ("client-account",
                    "{\"schema\":1,\"weight\":2,\"key_hash\":\"" HASH_B "\"}");

  g_assert_true (first->shape == second->shape);
}

static void
test_zone (void)
{
  g_autoptr (rec_t) v1
      = parse_good ("availability-zone", "{\"schema\":1,\"out\":true}");
  g_autoptr (rec_t) v2
      = parse_good ("availability-zone",
                    "{\"schema\":2,\"state\":\"out\",\"region\":\"th\"}");

  g_assert_true (v1->u.zone.out);
  g_assert_null (v1->u.zone.region);
  g_assert_true (v2->u.zone.out);
  g_assert_cmpstr (v2->u.zone.region, ==, "th");
}

static void
test_endpoint (void)
{
  g_autoptr (rec_t) v1 = parse_good (
      "endpoint", "{\"schema\":1,\"service\":\"s\",\"zone\":\"z\","
                  "\"url\":\"http://127.0.0.1:1\",\"slots\":8}");
  g_autoptr (rec_t) v2 = parse_good (
      "endpoint", "{\"schema\":2,\"service\":\"s\",\"zone\":\"z\","
                  "\"url\":\"http://127.0.0.1:1\",\"slots\":{\"max\":8,"
                  "\"cold\":2},\"state\":\"leaving\"}");

  g_assert_cmpuint (v1->u.endpoint.slots_max, ==, 8);
  g_assert_cmpuint (v1->u.endpoint.slots_cold, ==, 1);
  g_assert_false (v1->u.endpoint.leaving);
  g_assert_cmpuint (v2->u.endpoint.slots_max, ==, 8);
  g_assert_cmpuint (v2->u.endpoint.slots_cold, ==, 2);
  g_assert_true (v2->u.endpoint.leaving);
}

#define V1_PLAIN                                                              \
  "{\"schema\":1,\"type\":\"plain\",\"idempotent\":[\"GET /past/\"]}"
#define V2_PLAIN                                                              \
  "{\"schema\":2,\"type\":\"plain\",\"rules\":["                              \
  "{\"method\":\"GET\",\"prefix\":\"/past/new\",\"idempotent\":false},"       \
  "{\"method\":\"*\",\"prefix\":\"/past/\",\"idempotent\":true}],"            \
  "\"classes\":[\"a\",\"b\",\"c\"]}"

static const struct
{
  const char *spec;
  const char *method;
  const char *path;
  bool idempotent;
} calls[] = {
  { V1_PLAIN, "GET", "/past/1", true },
  { V1_PLAIN, "GET", "/past/?to=/invoices", true },
  { V1_PLAIN, "POST", "/past/1", false },
  { V1_PLAIN, "GET", "/invoices", false },
  { V1_PLAIN, "GET", "/pas?x=/past/", false },
  { V1_PLAIN, "GET", "/past/../invoices", false },
  { V1_PLAIN, "GET", "/past/%2e%2E/invoices", false },
  { V2_PLAIN, "GET", "/past/1", true },
  { V2_PLAIN, "PUT", "/past/1", true },
  { V2_PLAIN, "GET", "/past/new", false },
  { V2_PLAIN, "GET", "/", false },
  { "{\"schema\":1,\"type\":\"model\"}", "POST", "/v1/completions", true },
};

static void
test_idempotent (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      g_autoptr (rec_t) record = parse_good ("service", calls[i].spec);

      g_test_message ("%s %s", calls[i].method, calls[i].path);
      g_assert_true (rec_service_is_idempotent (&record->u.service,
                                                calls[i].method, calls[i].path)
                     == calls[i].idempotent);
    }
}

static void
test_classes (void)
{
  g_autoptr (rec_t) v1 = parse_good ("service", V1_PLAIN);
  g_autoptr (rec_t) v2 = parse_good ("service", V2_PLAIN);

  g_assert_cmpuint (rec_service_get_class_rank (&v1->u.service, "full-shift"),
                    ==, 0);
  g_assert_cmpuint (rec_service_get_class_rank (&v1->u.service, NULL), ==, 1);
  g_assert_cmpuint (rec_service_get_class_rank (&v2->u.service, "b"), ==, 1);
  g_assert_cmpuint (rec_service_get_class_rank (&v2->u.service, "x"), ==, 2);
}

/* Each is refused by an error that holds the text.  */
static const struct
{
  const char *kind;
  const char *spec;
  const char *says;
} bad[] = {
  { "client-account", "{}", "\"schema\"" },
  { "client-account", "{\"schema\":\"1\"}", "\"schema\"" },
  { "client-account", "{\"schema\":3}", "update the program" },
  { "lease", "{\"schema\":1}", "update the program" },
  { "client-account", "3", "\"spec\"" },
  { "client-account", "{\"schema\":1}", "\"weight\"" },
  { "client-account", "{\"schema\":1,\"weight\":0}", "\"weight\"" },
  { "client-account", "{\"schema\":1,\"weight\":-1}", "\"weight\"" },
  { "client-account", "{\"schema\":1,\"weight\":\"2\"}", "\"weight\"" },
  { "client-account", "{\"schema\":1,\"weight\":1}", "\"key_hash\"" },
  { "client-account", "{\"schema\":1,\"weight\":1,\"key_hash\":\"AB\"}",
    "\"key_hash\"" },
  { "client-account", "{\"schema\":2,\"weight\":1,\"keys\":[3]}", "\"keys\"" },
  { "client-account", "{\"schema\":2,\"weight\":1,\"keys\":[{}]}",
    "\"hash\"" },
  { "client-account",
    "{\"schema\":2,\"weight\":1,\"keys\":[],\"queue_max\":0}",
    "\"queue_max\"" },
  { "service", "{\"schema\":1,\"type\":\"odd\"}", "\"type\"" },
  { "service", "{\"schema\":1,\"type\":\"plain\",\"idempotent\":[\"GET\"]}",
    "\"idempotent\"" },
  { "service", "{\"schema\":1,\"type\":\"plain\",\"idempotent\":{}}",
    "\"idempotent\"" },
  { "service", "{\"schema\":2,\"type\":\"plain\",\"rules\":[{}]}",
    "\"method\"" },
  { "service", "{\"schema\":2,\"type\":\"plain\",\"rules\":[1]}",
    "\"rules\"" },
  { "service", "{\"schema\":2,\"type\":\"plain\",\"classes\":[1]}",
    "\"classes\"" },
  { "availability-zone", "{\"schema\":1}", "\"out\"" },
  { "availability-zone", "{\"schema\":1,\"out\":\"true\"}", "\"out\"" },
  { "availability-zone", "{\"schema\":2,\"state\":\"off\"}", "\"state\"" },
  { "endpoint", "{\"schema\":1}", "\"service\"" },
  { "endpoint",
    "{\"schema\":1,\"service\":\"s\",\"zone\":\"z\",\"url\":\"ftp://x\"}",
    "http://" },
  { "endpoint",
    "{\"schema\":1,\"service\":\"s\",\"zone\":\"z\",\"url\":\"http://x\","
    "\"slots\":0}",
    "\"slots\"" },
  { "endpoint",
    "{\"schema\":2,\"service\":\"s\",\"zone\":\"z\",\"url\":\"http://x\","
    "\"slots\":{\"max\":4,\"cold\":5},\"state\":\"in\"}",
    "\"cold\"" },
};

static void
test_bad (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      g_autoptr (GError) error = NULL;

      g_assert_null (parse (bad[i].kind, bad[i].spec, &error));
      g_assert_error (error, CFD_ERROR, CFD_ERROR_RECORD);
      g_test_message ("%s", error->message);
      g_assert_nonnull (strstr (error->message, bad[i].says));
    }
}

static void
test_keys (void)
{
  g_autofree char *hash = rec_hash_key_to_hex ("secret");
  g_autofree char *spec = g_strdup_printf (
      "{\"schema\":1,\"weight\":1,\"key_hash\":\"%s\"}", hash);
  g_autoptr (rec_t) record = parse_good ("client-account", spec);

  g_assert_cmpuint (strlen (hash), ==, 64);
  g_assert_true (rec_account_has_key (&record->u.account, "secret"));
  g_assert_false (rec_account_has_key (&record->u.account, "Secret"));
  g_assert_false (rec_account_has_key (&record->u.account, ""));
}

static void
test_deleted (void)
{
  g_autoptr (JsonNode) root = json_from_string (
      "{\"kind\":\"service\",\"name\":\"n\",\"revision\":9,\"deleted\":true}",
      NULL);
  g_autoptr (rec_t) record = rec_parse (json_node_get_object (root), NULL);

  g_assert_true (record->deleted);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rec/account", test_account);
  g_test_add_func ("/rec/text", test_text);
  g_test_add_func ("/rec/shared-shape", test_shared_shape);
  g_test_add_func ("/rec/zone", test_zone);
  g_test_add_func ("/rec/endpoint", test_endpoint);
  g_test_add_func ("/rec/idempotent", test_idempotent);
  g_test_add_func ("/rec/classes", test_classes);
  g_test_add_func ("/rec/bad", test_bad);
  g_test_add_func ("/rec/keys", test_keys);
  g_test_add_func ("/rec/deleted", test_deleted);
  return g_test_run ();
}
