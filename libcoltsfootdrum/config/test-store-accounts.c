/* The store with many accounts, what processes of each role are told of them,
   and changes that go in pieces.  */

#include "base/log.h"
#include "config/test-store-help.h"

#include <string.h>

#define ACCOUNTS 18000

static void
test_many_accounts (void)
{
  /* The fleet of the future: 18,000 accounts, from the platform and on to a
     peer in one frame.  */
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  g_autoptr (store_t) peer = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (10);
  msg_config_part_t part;

  for (unsigned i = 0; i < ACCOUNTS; i++)
    {
      g_autofree char *name = g_strdup_printf ("account-%u", i);
      g_autofree char *key = g_strdup_printf ("key-%u", i);

      write_account (model, name, key);
    }
  take_list (store, model);
  store_make_part (store, ROLE_ROUTER, &(msg_config_ask_t){ 0 }, 0, &part);
  g_assert_cmpuint (part.count, >, 0);
  g_assert_cmpuint (part.count, <=, MSG_ENTRIES_MAX);
  store_apply_part (peer, &part, 0);
  store_part_clear (&part);
  for (unsigned i = 0; i < ACCOUNTS; i += 97)
    {
      g_autofree char *name = g_strdup_printf ("account-%u", i);
      g_autofree char *key = g_strdup_printf ("key-%u", i);

      g_assert_cmpstr (store_find_account_by_key (store, key)->name, ==, name);
      g_assert_cmpstr (store_find_account_by_key (peer, key)->name, ==, name);
    }
  g_assert_null (store_find_account_by_key (store, "key"));
  sp_model_free (model);
}

/* Whether the part for a peer of ROLE has a record of KIND.  */
static bool
part_has (const store_t *from, role_t role, uint64_t have, const char *kind)
{
  const msg_config_ask_t ask = { .have = have };
  msg_config_part_t part;
  bool found = false;

  store_make_part (from, role, &ask, 2000, &part);
  for (uint32_t i = 0; i < part.count; i++)
    found |= strstr (part.records[i], kind) != NULL;
  store_part_clear (&part);
  return found;
}

static void
test_agent_keeps_no_accounts (void)
{
  /* A revision changes an account alone.  The agent is sent no account, but
     the revision counts as heard: else it would be behind for ever, and take
     no work.  */
  g_autoptr (store_t) router = store_new (NULL, NULL, NULL);
  g_autoptr (store_t) agent = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);

  store_set_self (router, ROLE_ROUTER, "r");
  store_set_self (agent, ROLE_AGENT, "a");
  write_zone (model, "a", IN);
  write_account (model, "acc", "key");
  take_list (router, model);
  take_list (agent, model);
  g_assert_null (store_get (agent, REC_ACCOUNT, "acc"));
  g_assert_cmpuint (store_get_revision (agent), ==, 2);
  write_account (model, "acc", "new");
  take_list (router, model);
  g_assert_true (part_has (router, ROLE_ROUTER, 2, "client-account"));
  g_assert_false (part_has (router, ROLE_AGENT, 2, "client-account"));
  take_part_as (agent, ROLE_AGENT, router, 2);
  g_assert_cmpuint (store_get_revision (agent), ==, 3);
  g_assert_cmpuint (store_get_age_ms (agent, 2000), ==, 1000);
  sp_model_free (model);
}

static void
test_router_asks_agent (void)
{
  /* A router with old knowledge asks an agent that is ahead, and holds all
     but the accounts.  Taken for a whole state, the answer would delete each
     account at the router; taken as fresh, it would hide the account that
     changed.  */
  g_autoptr (store_t) router = store_new (NULL, NULL, NULL);
  g_autoptr (store_t) agent = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);

  store_set_self (router, ROLE_ROUTER, "r");
  store_set_self (agent, ROLE_AGENT, "a");
  write_account (model, "acc", "key");
  take_list (router, model); /* at 1000 */
  write_account (model, "acc", "new");
  write_zone (model, "a", OUT);
  take_list (agent, model);
  take_part (router, agent, store_get_revision (router));
  g_assert_nonnull (store_get (router, REC_ACCOUNT, "acc"));
  g_assert_cmpuint (store_get_revision (router), ==, 1);
  g_assert_cmpuint (store_get_age_ms (router, 9000), ==, 8000);
  sp_model_free (model);
}

static void
test_pieces (void)
{
  /* A peer was cut off while an operator wrote 18,000 accounts and took a zone
     out in between.  The changes come in pieces; each must leave the peer at a
     revision whose changes it has all, and may not make it seem up to date. */
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  g_autoptr (store_t) peer = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (2 * ACCOUNTS);
  g_autofree char *changes = NULL;
  unsigned pieces = 0;

  write_zone (model, "a", IN);
  take_list (store, model); /* at 1000 */
  take_list (peer, model);
  for (unsigned i = 0; i < ACCOUNTS; i++)
    {
      g_autofree char *name = g_strdup_printf ("account-%u", i);

      write_account (model, name, name);
      if (i == ACCOUNTS / 2)
        write_zone (model, "a", OUT);
    }
  changes = sp_model_list_changes (model, store_get_revision (store), KINDS);
  take (store, changes, false);
  while (store_get_revision (peer) < store_get_revision (store))
    {
      uint64_t before = store_get_revision (peer);
      const msg_config_ask_t ask = { .have = before };
      msg_config_part_t part;
      msg_t message = { .kind = MSG_CONFIG_PART };
      g_autoptr (GByteArray) frame = NULL;

      store_make_part (store, ROLE_ROUTER, &ask, 9000, &part);
      message.u.config_part = part;
      frame = msg_encode (&message, NULL);
      g_assert_cmpuint (frame->len, <, 512 * 1024);
      store_apply_part (peer, &part, 9000);
      g_assert_true (
          part.age_ms
          == (part.up_to == store_get_revision (store) ? 8000 : UINT32_MAX));
      store_part_clear (&part);
      g_assert_cmpuint (store_get_revision (peer), >, before);
      g_assert_true (store_is_zone_out (peer, "a")
                     == (store_get_revision (peer) > 2 + ACCOUNTS / 2));
      pieces++;
    }
  g_assert_cmpuint (pieces, >, 5);
  g_assert_cmpuint (store_get_age_ms (peer, 9000), ==, 8000);
  for (unsigned i = 0; i < ACCOUNTS; i += 97)
    {
      g_autofree char *name = g_strdup_printf ("account-%u", i);

      g_assert_nonnull (store_get (peer, REC_ACCOUNT, name));
    }
  sp_model_free (model);
}

static void
test_pieces_of_one_revision (void)
{
  /* A list showed thousands of records as gone: their marks all have the
     list's revision.  A piece that ended among them would leave the others in
     force at the peer for ever.  */
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  g_autoptr (store_t) peer = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (2 * ACCOUNTS);

  for (unsigned i = 0; i < ACCOUNTS; i++)
    {
      g_autofree char *name = g_strdup_printf ("account-%u", i);

      write_account (model, name, name);
    }
  take_list (store, model);
  take_list (peer, model);
  take (store, "{\"revision\":99999,\"objects\":[]}", true);
  store->deletions_known_from = 0; /* as if it had seen each one go */
  for (unsigned i = 0; i < 40; i++)
    take_part (peer, store, store_get_revision (peer));
  g_assert_cmpuint (store_get_revision (peer), ==, 99999);
  for (unsigned i = 0; i < ACCOUNTS; i++)
    {
      g_autofree char *name = g_strdup_printf ("account-%u", i);

      g_assert_null (store_get (peer, REC_ACCOUNT, name));
    }
  sp_model_free (model);
}

static void
test_key_rotation (void)
{
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);

  write_account (model, "a", "old");
  take_list (store, model);
  write_account (model, "a", "new");
  take_list (store, model);
  g_assert_null (store_find_account_by_key (store, "old"));
  g_assert_cmpstr (store_find_account_by_key (store, "new")->name, ==, "a");
  sp_model_free (model);
}

static void
test_shared_key (void)
{
  /* An operator gives two accounts one key and takes it back from the one that
     held it: the other account's callers must not be locked out.  */
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);

  write_account (model, "b", "same");
  take_list (store, model);
  write_account (model, "a", "same");
  take_list (store, model);
  g_assert_cmpstr (store_find_account_by_key (store, "same")->name, ==, "a");
  sp_model_write (model, "client-account", "a", NULL, 0);
  take_list (store, model);
  g_assert_cmpstr (store_find_account_by_key (store, "same")->name, ==, "b");
  sp_model_free (model);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  log_setup ("test", LOG_ERROR, false);
  g_test_add_func ("/store/many-accounts", test_many_accounts);
  g_test_add_func ("/store/agent-keeps-no-accounts",
                   test_agent_keeps_no_accounts);
  g_test_add_func ("/store/router-asks-agent", test_router_asks_agent);
  g_test_add_func ("/store/pieces", test_pieces);
  g_test_add_func ("/store/pieces-of-one-revision",
                   test_pieces_of_one_revision);
  g_test_add_func ("/store/key-rotation", test_key_rotation);
  g_test_add_func ("/store/shared-key", test_shared_key);
  return g_test_run ();
}
