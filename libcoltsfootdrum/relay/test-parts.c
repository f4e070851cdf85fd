/* Small modules of the relay: routes, prompt prefixes, the retry budget,
   returning callers, the linear fit, header fields and mechanisms.  */

#include "relay/bud.h"
#include "relay/fit.h"
#include "relay/hdr.h"
#include "relay/mech.h"
#include "relay/pfx.h"
#include "relay/ret.h"
#include "relay/rte.h"

#include "base/err.h"

#include <string.h>

#define NOW 1000000

static rte_route_t *
route (const char *host, const char *prefix, const char *service)
{
  rte_route_t *one = rte_route_new ();

  one->name = g_strdup (prefix);
  one->host = g_strdup (host);
  one->prefix = g_strdup (prefix);
  rte_route_add_traffic_share (one, service, 1.);
  return one;
}

static rte_table_t *
make_table (void)
{
  static const char *const keys[] = { "k1", "k2", NULL };
  rte_limits_t limits = { 0 };
  rte_table_t *table = rte_table_new (7, &limits);
  rte_account_t *account = g_new0 (rte_account_t, 1);

  rte_table_add_route (table, route ("Example.org", "/a/", "s1"));
  rte_table_add_route (table, route ("example.org", "/a/b/", "s2"));
  rte_table_add_route (table, route ("other.org", "/", "s3"));
  account->name = g_strdup ("mill");
  rte_table_add_account (table, account, keys);
  return table;
}

typedef struct
{
  const char *name;
  const char *host;
  const char *target;
  const char *prefix; /* NULL: no route */
} find_case_t;

static const find_case_t find_cases[] = {
  { "longest", "example.org", "/a/b/c", "/a/b/" },
  { "shorter", "example.org", "/a/x", "/a/" },
  { "host-case-and-port", "EXAMPLE.org:80", "/a/x", "/a/" },
  { "other-host", "other.org", "/a/b/", "/" },
  { "no-host", "nobody.org", "/a/", NULL },
  { "no-prefix", "example.org", "/b/", NULL },
  { "not-whole-segment", "example.org", "/ab/", NULL },
  /* A slash in the query is not part of the path.  */
  { "query", "example.org", "/a/?x=/b/", "/a/" },
};

static void
test_find (const void *data)
{
  const find_case_t *one = data;
  g_autoptr (rte_table_t) table = make_table ();
  const rte_route_t *found = rte_find_route (table, one->host, one->target);

  g_assert_cmpstr (found != NULL ? found->prefix : NULL, ==, one->prefix);
}

static void
test_accounts (void)
{
  g_autoptr (rte_table_t) table = make_table ();

  g_assert_cmpstr (rte_find_account (table, "k2")->name, ==, "mill");
  g_assert_null (rte_find_account (table, "k3"));
}

static void
test_shares (void)
{
  rte_route_t *one = rte_route_new ();

  rte_route_add_traffic_share (one, "a", 90.);
  rte_route_add_traffic_share (one, "b", 10.);
  g_assert_cmpstr (rte_choose_service (one, 0.), ==, "a");
  g_assert_cmpstr (rte_choose_service (one, 0.89), ==, "a");
  g_assert_cmpstr (rte_choose_service (one, 0.91), ==, "b");
  g_assert_cmpstr (rte_choose_service (one, 1.), ==, "b");
  rte_route_free (one);
}

static void
test_prompts (void)
{
  static const char *const bad[] = { "", "a", "a:", ":5", "a:5,", "a:-1x" };
  g_autoptr (pfx_prompt_t) prompt = pfx_prompt_parse ("a:100, b:50,c:7");

  g_assert_cmpuint (prompt->tokens, ==, 157);
  g_assert_cmpuint (pfx_prompt_count_shared_tokens (prompt), ==, 150);
  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    g_assert_null (pfx_prompt_parse (bad[i]));
}

/* A caller's field with 4,000 parts took as many look-ups for each endpoint,
   and one with more tokens than an integer holds became a short prompt.  */
static void
test_large_prompts (void)
{
  g_autoptr (GString) text = g_string_new ("p:1");
  g_autoptr (pfx_prompt_t) wide = NULL;
  g_autoptr (pfx_prompt_t) large
      = pfx_prompt_parse ("a:2147483647,b:2147483647,c:2147483647");

  for (unsigned i = 1; i < 4000; i++)
    g_string_append (text, ",p:1");
  wide = pfx_prompt_parse (text->str);
  g_assert_cmpuint (wide->parts->len, ==, PFX_MAX_PARTS);
  g_assert_cmpuint (wide->tokens, ==, 4000);
  g_assert_cmpuint (pfx_prompt_count_shared_tokens (wide), ==,
                    PFX_MAX_PARTS - 1);
  g_assert_cmpuint (large->tokens, ==, PFX_MAX_TOKENS);
  g_assert_cmpuint (pfx_prompt_count_shared_tokens (large), ==,
                    PFX_MAX_TOKENS);
}

/* The prefix of a prompt counts as cached for a while at the endpoint that got
   it.  A part matches only together with all parts before it.  */
static void
test_cached (void)
{
  g_autoptr (pfx_t) pfx = pfx_new ();
  g_autoptr (pfx_prompt_t) first = pfx_prompt_parse ("a:100,b:50,c:7");
  g_autoptr (pfx_prompt_t) same = pfx_prompt_parse ("a:100,b:50,d:9");
  g_autoptr (pfx_prompt_t) shares_first = pfx_prompt_parse ("a:100,x:50,d:9");
  g_autoptr (pfx_prompt_t) moved = pfx_prompt_parse ("z:1,b:50,d:9");

  pfx_record (pfx, NOW, 1, first);
  g_assert_cmpuint (pfx_count_cached_tokens (pfx, NOW, 1, same), ==, 150);
  g_assert_cmpuint (pfx_count_cached_tokens (pfx, NOW, 1, shares_first), ==,
                    100);
  g_assert_cmpuint (pfx_count_cached_tokens (pfx, NOW, 1, moved), ==, 0);
  g_assert_cmpuint (pfx_count_cached_tokens (pfx, NOW, 2, same), ==, 0);
  g_assert_cmpuint (pfx_count_cached_tokens (pfx, NOW + 3600000, 1, same), ==,
                    0);
}

/* An update from another router has only the last part of the shared prefix,
   which identifies all parts before it.  */
static void
test_peer_update (void)
{
  g_autoptr (pfx_t) here = pfx_new ();
  g_autoptr (pfx_t) there = pfx_new ();
  g_autoptr (pfx_prompt_t) prompt = pfx_prompt_parse ("a:100,b:50,c:7");
  const GArray *updates;

  pfx_record (here, NOW, 1, prompt);
  updates = pfx_get_updates (here, NOW);
  g_assert_cmpuint (updates->len, ==, 1);
  pfx_apply_update (there, NOW,
                    g_array_index (updates, pfx_update_t, 0).endpoint,
                    g_array_index (updates, pfx_update_t, 0).part);
  g_assert_cmpuint (pfx_count_cached_tokens (there, NOW, 1, prompt), ==, 150);
  g_assert_cmpuint (pfx_get_updates (here, NOW + 1)->len, ==, 0);
}

/* Load pattern: every request fails.  Of 1,000 requests in a window, a fifth
   and the fixed number may be sent again, and no more.  */
static void
test_retry_budget (void)
{
  bud_t bud;
  unsigned repeats = 0;

  bud_init (&bud, 10000, 0.2, 50.);
  for (unsigned i = 0; i < 1000; i++)
    {
      bud_count_request (&bud, NOW + i * 10);
      repeats += bud_try_retry (&bud, NOW + i * 10);
    }
  g_assert_cmpuint (repeats, >=, 200);
  g_assert_cmpuint (repeats, <=, 250);
  g_assert_false (bud_try_retry (&bud, NOW + 9999));
  /* An hour later the window is empty.  */
  g_assert_true (bud_try_retry (&bud, NOW + 3600000));
}

/* Load pattern: refused callers retry, with other deadlines and ids than
   before.  */
static void
test_returning_caller (void)
{
  g_autoptr (ret_t) ret = ret_new ();
  uint64_t key = ret_request_key ("mill", "a:1,b:2", "text", 4);

  g_assert_cmpuint (key, !=, ret_request_key ("press", "a:1,b:2", "text", 4));
  g_assert_cmpuint (key, !=, ret_request_key ("mill", "a:1,b:3", "text", 4));
  g_assert_cmpuint (key, !=, ret_request_key ("mill", "a:1,b:2", "test", 4));
  g_assert_cmpint (ret_take_first_attempt (ret, NOW, key), ==, NOW);
  ret_add_refusal (ret, NOW + 300, key, NOW, NOW + 400);
  g_assert_cmpuint (ret_updates (ret, NOW)->len, ==, 1);
  g_assert_cmpint (ret_take_first_attempt (ret, NOW + 500, key), ==, NOW);
  g_assert_cmpint (ret_take_first_attempt (ret, NOW + 600, key), ==,
                   NOW + 600);
  /* The refusal of a caller who doesn't retry expires.  */
  ret_add_refusal (ret, NOW + 300, key, NOW, NOW + 400);
  ret_sweep (ret, NOW + 60000);
  g_assert_cmpint (ret_take_first_attempt (ret, NOW + 60000, key), ==,
                   NOW + 60000);
  g_assert_cmpuint (ret_updates (ret, NOW + 60000)->len, ==, 0);
}

/* Two callers of an account send the same request.  One is refused and one is
   served: the next one with this request is not a retry.  */
static void
test_served_request (void)
{
  g_autoptr (ret_t) ret = ret_new ();
  uint64_t key = ret_request_key ("mill", "a:1,b:2", "text", 4);

  ret_add_refusal (ret, NOW, key, NOW, NOW + 100);
  ret_mark_served (ret, key);
  g_assert_cmpint (ret_take_first_attempt (ret, NOW + 500, key), ==,
                   NOW + 500);
}

/* In a flood of refusals the earliest are evicted: their callers have retried
   already, or won't.  */
static void
test_evicts_oldest_refusal (void)
{
  g_autoptr (ret_t) ret = ret_new ();

  for (uint64_t key = 1; key <= 20000; key++)
    ret_add_refusal (ret, NOW + (cfd_time_t)key / 10, key, NOW, NOW);
  g_assert_cmpint (ret_take_first_attempt (ret, NOW + 2000, 1), ==,
                   NOW + 2000);
  g_assert_cmpint (ret_take_first_attempt (ret, NOW + 2000, 20000), ==, NOW);
  ret_sweep (ret, NOW + 60000);
  g_assert_cmpint (ret_take_first_attempt (ret, NOW + 2000, 19000), ==,
                   NOW + 2000);
}

static void
test_fit (void)
{
  fit_t fit;

  fit_init (&fit, 50., 0.0125);
  g_assert_cmpfloat_with_epsilon (fit_base (&fit), 50., 1e-6);
  g_assert_cmpfloat_with_epsilon (fit_slope (&fit), 0.0125, 1e-9);
  for (unsigned i = 0; i < 2000; i++)
    fit_add (&fit, i % 20 * 1000., 60. + i % 20 * 8.);
  g_assert_cmpfloat_with_epsilon (fit_base (&fit), 60., 1.);
  g_assert_cmpfloat_with_epsilon (fit_slope (&fit), 0.008, 1e-4);
}

/* Numbers in callers' fields can't be infinite, negative or no number.  */
static void
test_numbers (void)
{
  static const struct
  {
    const char *text;
    double value;
  } numbers[]
      = { { NULL, 7. },  { "", 7. },       { "x", 7. },     { "-1", 7. },
          { "nan", 7. }, { "-inf", 7. },   { "inf", 100. }, { "1e300", 100. },
          { "0", 0. },   { "5.5,9", 5.5 }, { "100", 100. } };

  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    g_assert_cmpfloat (hdr_parse_number (numbers[i].text, 100., 7.), ==,
                       numbers[i].value);
}

/* A Retry-After field is seconds or a date; anything else asks for no rest. */
static void
test_retry_after (void)
{
  /* Sun, 06 Nov 1994 08:49:37 GMT.  */
  static const int64_t wall_ms = 784111777000;
  static const struct
  {
    const char *text;
    int64_t ms;
  } cases[] = { { NULL, 0 },
                { "", 0 },
                { "0", 0 },
                { "3", 3000 },
                { " 3 ", 3000 },
                { "0.25", 250 },
                { ".5", 500 },
                { "0.0001", 1 },
                { "-1", 0 },
                { "+1", 0 },
                { "1.2.3", 0 },
                { "1e3", 0 },
                { "0x10", 0 },
                { "inf", 0 },
                { "nan", 0 },
                { "3 s", 0 },
                { "3, 5", 0 },
                { "soon", 0 },
                { "a:b", 0 },
                { "3600", HDR_MAX_RETRY_AFTER_MS },
                { "99999999999999999999999", HDR_MAX_RETRY_AFTER_MS },
                { "Sun, 06 Nov 1994 08:49:39 GMT", 2000 },
                { "Sun, 06 Nov 1994 08:49:30 GMT", 0 },
                { "Sun, 06 Nov 2094 08:49:37 GMT", HDR_MAX_RETRY_AFTER_MS } };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    g_assert_cmpint (hdr_parse_retry_after (cases[i].text, wall_ms), ==,
                     cases[i].ms);
}

static void
test_hop_fields (void)
{
  hdr_t hdr;

  hdr_init (&hdr);
  hdr_add (&hdr, "Connection", "close, X-Mine");
  hdr_add (&hdr, "x-mine", "1");
  hdr_add (&hdr, "Transfer-Encoding", "chunked");
  hdr_add (&hdr, "Accept", "*/*");
  g_assert_true (hdr_is_hop_by_hop (&hdr, 0));
  g_assert_true (hdr_is_hop_by_hop (&hdr, 1));
  g_assert_true (hdr_is_hop_by_hop (&hdr, 2));
  g_assert_false (hdr_is_hop_by_hop (&hdr, 3));
  g_assert_cmpstr (hdr_get (&hdr, "accept"), ==, "*/*");
  hdr_clear (&hdr);
}

static void
test_mechanisms (void)
{
  g_autofree char *help = mech_help ();
  g_autoptr (GError) error = NULL;
  unsigned bits = 1;

  g_assert_true (mech_parse (NULL, &bits, &error));
  g_assert_cmpuint (bits, ==, 0);
  g_assert_true (mech_parse ("prefix-fetch, throttle", &bits, &error));
  g_assert_cmpuint (bits, ==, MECH_PREFIX_FETCH | MECH_THROTTLE);
  g_assert_nonnull (strstr (help, "  prefix-fetch: "));
  g_assert_false (mech_parse ("throttle,none", &bits, &error));
  g_assert_error (error, CFD_ERROR, CFD_ERROR_SETTING);
  g_assert_nonnull (strstr (error->message, "--help"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (find_cases); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/rte/find/%s", find_cases[i].name);

      g_test_add_data_func (path, &find_cases[i], test_find);
    }
  g_test_add_func ("/rte/accounts", test_accounts);
  g_test_add_func ("/rte/shares", test_shares);
  g_test_add_func ("/pfx/prompts", test_prompts);
  g_test_add_func ("/pfx/large-prompts", test_large_prompts);
  g_test_add_func ("/pfx/cached", test_cached);
  g_test_add_func ("/pfx/peer-update", test_peer_update);
  g_test_add_func ("/bud/storm", test_retry_budget);
  g_test_add_func ("/ret/returns", test_returning_caller);
  g_test_add_func ("/parts/served-meanwhile", test_served_request);
  g_test_add_func ("/parts/many-refused", test_evicts_oldest_refusal);
  g_test_add_func ("/fit/line", test_fit);
  g_test_add_func ("/mech/names", test_mechanisms);
  g_test_add_func ("/hdr/numbers", test_numbers);
  g_test_add_func ("/hdr/retry-after", test_retry_after);
  g_test_add_func ("/hdr/hop", test_hop_fields);
  return g_test_run ();
}
