/* Which updates a home may omit: after each omitted answer the router still
   computes the virtual time that the home would have sent.  */

#include "router/peer-view.h"

#include <math.h>

/* One router beside others that serve the same account.  The home sends it
   only the required updates; whatever the others do, and however many reports
   and answers are exchanged, the router's own virtual time never differs by
   more than the bound.  */
static void
test_bounded_error (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (3);
  g_autoptr (peer_view_t) view = peer_view_new ();
  double home_vt = 0;
  double charged = 0;
  double acked = 0;
  double last_vt = 0;
  unsigned sent = 0;

  for (unsigned i = 0; i < 10000; i++)
    {
      double own_tokens = g_rand_double_range (random, -20, 60);
      double others_tokens = g_rand_int_range (random, 0, 4) == 0
                                 ? g_rand_double_range (random, -5, 60)
                                 : 0;
      msg_share_entry_t share = { "branch", "draft", i, charged += own_tokens,
                                  home_vt += own_tokens + others_tokens };

      if (peer_view_needs_update (view, &share, 0))
        {
          sent++;
          acked = share.charged;
          last_vt = share.virtual_time;
        }
      g_assert_cmpfloat (fabs (last_vt + charged - acked - home_vt), <,
                         PEER_VIEW_MAX_ERROR_TOKENS);
    }
  g_assert_cmpuint (sent, >, 0);
  g_assert_cmpuint (sent, <, 4000);
}

static void
test_lifted_account (void)
{
  /* An account returns from idle at a router, which lifts it to the floor.  It
     was active elsewhere, so the home did not lift it.  No other router
     charges the account from then on: without an update the account would stay
     behind all others at that router.  */
  g_autoptr (peer_view_t) view = peer_view_new ();
  const msg_share_entry_t share = { "branch", "draft", 1, 50, 1000 };
  const msg_share_entry_t next = { "branch", "draft", 2, 60, 1010 };
  msg_report_entry_t report
      = { "branch", "draft", 2, 60, 50, 1000, -INFINITY, true };

  g_assert_true (peer_view_needs_update (view, &share, 0));
  peer_view_apply_report (view, &report);
  g_assert_false (peer_view_needs_update (view, &next, 0));
  report.last_vt = 1500;
  peer_view_apply_report (view, &report);
  g_assert_true (peer_view_needs_update (view, &next, 0));
}

static void
test_reset (void)
{
  /* The link was lost, possibly with an answer, so all entries are sent
     again.  */
  g_autoptr (peer_view_t) view = peer_view_new ();
  const msg_share_entry_t share = { "branch", "draft", 1, 50, 1000 };
  const msg_share_entry_t other = { "branch", "lookup", 1, 50, 1000 };

  g_assert_true (peer_view_needs_update (view, &share, 0));
  g_assert_true (peer_view_needs_update (view, &other, 0));
  g_assert_false (peer_view_needs_update (view, &share, 0));
  peer_view_reset (view);
  g_assert_true (peer_view_needs_update (view, &share, 0));
}

static void
test_max_entries (void)
{
  g_autoptr (peer_view_t) view = peer_view_new ();
  msg_share_entry_t share = { NULL, "draft", 1, 50, 1000 };

  for (unsigned i = 0; i <= PEER_VIEW_MAX_ENTRIES; i++)
    {
      g_autofree char *account = g_strdup_printf ("account-%u", i);

      share.account = account;
      g_assert_true (peer_view_needs_update (view, &share, 0));
    }
  share.account = "account-0";
  g_assert_true (peer_view_needs_update (view, &share, 0));
  g_assert_false (peer_view_needs_update (view, &share, 0));
}

/* A home that agrees with every report still answers now and then, or the
   router would select another home.  */
static void
test_max_silence (void)
{
  g_autoptr (peer_view_t) view = peer_view_new ();
  const msg_share_entry_t share = { "branch", "draft", 1, 50, 1000 };
  const cfd_time_t start = 10000;

  g_assert_true (peer_view_needs_update (view, &share, start));
  g_assert_false (peer_view_needs_update (
      view, &share, start + PEER_VIEW_MAX_SILENCE_MS - 1));
  g_assert_true (
      peer_view_needs_update (view, &share, start + PEER_VIEW_MAX_SILENCE_MS));
  g_assert_false (peer_view_needs_update (
      view, &share, start + PEER_VIEW_MAX_SILENCE_MS + 1));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peer-view/bounded-error", test_bounded_error);
  g_test_add_func ("/peer-view/lifted-account", test_lifted_account);
  g_test_add_func ("/peer-view/reset", test_reset);
  g_test_add_func ("/peer-view/max-entries", test_max_entries);
  g_test_add_func ("/peer-view/max-silence", test_max_silence);
  return g_test_run ();
}
