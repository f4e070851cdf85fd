/* A whole state in pieces against the faults of store-pieces.c, as a table:
   whatever happens on the way, the receiver comes to the sender's state, and
   on the way loses nothing that was never deleted.  */

#include "base/log.h"
#include "config/test-store-help.h"

#include <string.h>

#define PIECE_RECORDS 2u
#define MAX_ASKS 20u
#define STEP_MS 10
#define WAIT_MS 5000

/* The receiver has the accounts a, b, c and d.  Then b was deleted and e
   written, which is what the older peer lists; c was written anew, bb and f
   were added, which the sender and another peer list: three pieces.  */
typedef struct
{
  sp_model_t *model;
  store_t *receiver;
  store_t *sender;
  store_t *older_peer;
  cfd_time_t now;
  bool has_g;
  bool is_d_deleted; /* it was deleted */
  uint64_t last_revision;
  msg_config_part_t delayed;
} scenario_t;

static store_t *
make_listed_store (const sp_model_t *model)
{
  store_t *store = store_new (NULL, NULL, NULL);

  store->max_piece_records = PIECE_RECORDS;
  apply_list (store, model);
  return store;
}

static void
scenario_start (scenario_t *scenario)
{
  static const char *const first[] = { "a", "b", "c", "d" };
  static const char *const later[] = { "c", "bb", "f" };

  *scenario = (scenario_t){ .model = sp_model_new (100), .now = 2000 };
  for (unsigned i = 0; i < G_N_ELEMENTS (first); i++)
    write_account (scenario->model, first[i], first[i]);
  scenario->receiver = make_listed_store (scenario->model);
  sp_model_write (scenario->model, "client-account", "b", NULL, 0);
  write_account (scenario->model, "e", "e");
  scenario->older_peer = make_listed_store (scenario->model);
  for (unsigned i = 0; i < G_N_ELEMENTS (later); i++)
    write_account (scenario->model, later[i], "new");
  scenario->sender = make_listed_store (scenario->model);
}

static void
scenario_end (scenario_t *scenario)
{
  store_part_clear (&scenario->delayed);
  store_free (scenario->receiver);
  store_free (scenario->sender);
  store_free (scenario->older_peer);
  sp_model_free (scenario->model);
}

/* The sender learns of what was written.  */
static void
catch_up (scenario_t *scenario)
{
  g_autofree char *changes = sp_model_changes (
      scenario->model, scenario->sender->revision, ALL_KINDS);

  apply_answer (scenario->sender, changes, false);
}

static void
write_and_update (scenario_t *scenario, const char *name, const char *key)
{
  if (key != NULL)
    write_account (scenario->model, name, key);
  else
    sp_model_write (scenario->model, "client-account", name, NULL, 0);
  catch_up (scenario);
}

/* What FROM sends to the receiver's ask for the state of FROM_STATE, or for
   the one that it is at when that is 0.  As on the wire, the place outlives
   what the receiver does next.  */
static void
make_part (const scenario_t *scenario, const store_t *from,
           uint64_t from_state, msg_config_part_t *part)
{
  msg_config_ask_t ask;

  store_make_ask (scenario->receiver, &ask);
  ask.after.name = g_intern_string (ask.after.name);
  if (from_state != 0)
    ask.state = from_state;
  store_make_part (from, ROLE_ROUTER, &ask, scenario->now, part);
}

static void
deliver_piece (scenario_t *scenario, const store_t *from, uint64_t from_state,
               unsigned times)
{
  msg_config_part_t part;

  make_part (scenario, from, from_state, &part);
  for (unsigned i = 0; i < times; i++)
    store_apply_part (scenario->receiver, &part, scenario->now);
  store_part_clear (&part);
}

/* The sender's answer to an ask without a place.  */
static void
deliver_first_part (scenario_t *scenario, bool pieces)
{
  const msg_config_ask_t ask
      = { .have = scenario->receiver->revision, .pieces = pieces };
  msg_config_part_t part;

  store_make_part (scenario->sender, ROLE_ROUTER, &ask, scenario->now, &part);
  store_apply_part (scenario->receiver, &part, scenario->now);
  store_part_clear (&part);
}

/* A piece after which the sender stands where it stood before.  */
static void
deliver_repeated_position (scenario_t *scenario)
{
  msg_config_part_t part;

  make_part (scenario, scenario->sender, 0, &part);
  part.next = part.after;
  store_apply_part (scenario->receiver, &part, scenario->now);
  store_part_clear (&part);
}

/* The receiver has g from a page of the platform's list that goes on.  */
static void
apply_page_with_g (scenario_t *scenario)
{
  g_autoptr (GHashTable) present = NULL;
  g_autofree char *text = NULL;
  g_autoptr (JsonObject) page = NULL;
  const char *next = NULL;
  uint64_t revision = 0;

  write_account (scenario->model, "g", "g");
  text = sp_model_changes (scenario->model, scenario->sender->revision,
                           ALL_KINDS);
  page = parse_object (text);
  json_object_set_string_member (page, "next", "client-account/g");
  g_assert_true (store_apply_page (scenario->receiver, page, &present,
                                   &revision, &next, scenario->now));
  scenario->has_g = true;
}

static const struct
{
  char code;
  const char *name;
  const char *key; /* NULL deletes it */
} writes[] = {
  { 'D', "a", NULL },      { 'E', "e", NULL },      { 'M', "bb", NULL },
  { 'C', "a", "changed" }, { 'F', "f", "changed" }, { 'N', "aa", "aa" },
};

static void
run_step (scenario_t *scenario, char code)
{
  g_autoptr (store_t) empty = store_new (NULL, NULL, NULL);

  for (unsigned i = 0; i < G_N_ELEMENTS (writes); i++)
    if (writes[i].code == code)
      {
        write_and_update (scenario, writes[i].name, writes[i].key);
        return;
      }
  switch (code)
    {
    case 'p': /* the next piece */
      deliver_piece (scenario, scenario->sender, 0, 1);
      return;
    case 'd': /* the same, doubled */
      deliver_piece (scenario, scenario->sender, 0, 2);
      return;
    case 'h': /* it is on its way, and comes late or never */
      make_part (scenario, scenario->sender, 0, &scenario->delayed);
      return;
    case 'r': /* what was held comes */
      store_apply_part (scenario->receiver, &scenario->delayed, scenario->now);
      return;
    case 'f': /* the answer to an ask of before the first piece */
      deliver_first_part (scenario, true);
      return;
    case 'W': /* a sender that knows no pieces */
      deliver_first_part (scenario, false);
      return;
    case 'o':
      deliver_piece (scenario, scenario->older_peer, 0, 1);
      return;
    case 'O': /* the older peer's piece of its own state, at the same place */
      deliver_piece (scenario, scenario->older_peer,
                     scenario->older_peer->revision, 1);
      return;
    case 's': /* the sender is dead, the other takes its place */
      store_free (scenario->sender);
      scenario->sender = make_listed_store (scenario->model);
      deliver_piece (scenario, scenario->sender, 0, 1);
      return;
    case 'R': /* the sender restarted and has nothing yet */
      deliver_piece (scenario, empty, 0, 1);
      return;
    case 'w':
      scenario->now += WAIT_MS;
      return;
    case 'G':
      apply_page_with_g (scenario);
      return;
    case 'c':
      catch_up (scenario);
      return;
    case 'L': /* the sender lists anew, and so learns that d is gone */
      sp_model_write (scenario->model, "client-account", "d", NULL, 0);
      apply_list (scenario->sender, scenario->model);
      scenario->is_d_deleted = true;
      return;
    case 'u': /* the receiver reads the platform itself */
      apply_list (scenario->receiver, scenario->model);
      return;
    case 'B':
      deliver_repeated_position (scenario);
      return;
    case 'b': /* it bears less than the state has */
      scenario->receiver->max_snapshot_records = 1;
      return;
    default:
      g_assert_not_reached ();
    }
}

/* What must hold at every moment.  */
static void
check_invariants (scenario_t *scenario)
{
  const store_t *receiver = scenario->receiver;

  scenario->now += STEP_MS;
  g_assert_cmpuint (receiver->revision, >=, scenario->last_revision);
  scenario->last_revision = receiver->revision;
  g_assert_true (scenario->is_d_deleted
                 || store_get (receiver, REC_ACCOUNT, "d") != NULL);
  g_assert_true (!scenario->has_g
                 || store_get (receiver, REC_ACCOUNT, "g") != NULL);
  /* Dropped at an end alone: the revision tells that it came.  */
  g_assert_true ((store_get (receiver, REC_ACCOUNT, "b") != NULL)
                 == (receiver->revision <= 4));
}

static void
check_equal (const store_t *receiver, const store_t *sender)
{
  static const char *const names[]
      = { "a", "aa", "b", "bb", "c", "d", "e", "f", "g" };

  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    {
      const rec_t *here = store_get (receiver, REC_ACCOUNT, names[i]);
      const rec_t *there = store_get (sender, REC_ACCOUNT, names[i]);

      g_test_message ("%s", names[i]);
      g_assert_true ((here == NULL) == (there == NULL));
      g_assert_cmpuint (here == NULL ? 0 : here->revision, ==,
                        there == NULL ? 0 : there->revision);
    }
}

typedef struct
{
  const char *name;
  const char *steps;
  unsigned remaining_asks; /* asks until the receiver has the sender's state */
} fault_case_t;

static const fault_case_t cases[] = {
  /* Two pieces bring nothing into force as a whole; the third does.  */
  { "in-order", "ppp", 0 },
  /* The next ask says the same place: nothing is sent twice.  */
  { "lost", "ph", 2 },
  { "doubled", "pd", 1 },
  /* Were it taken, the pieces would begin anew for as long as such come.  */
  { "late-first", "ppf", 1 },
  /* The last piece comes late, after the state was begun anew: what lies
     between would be dropped.  */
  { "late-last", "pphwfr", 2 },
  /* The same when nothing is under way, the older state having ended.  */
  { "late-alone", "pphwoppr", 3 },
  /* The older peer's last piece has no f, which would be missing for ever.  */
  { "older-state", "ppO", 1 },
  /* The same when it is asked to go on with a state that it has not.  */
  { "older-asked", "ppo", 1 },
  /* Once nothing else comes, the older state is better than none: it is ended
     in 2 pieces, and the newer one taken in 3.  */
  { "older-alone", "pwo", 5 },
  { "replaced", "ps", 1 },
  { "restarted", "pR", 2 },
  /* Behind the place taken: by the changes after the state.  */
  { "deleted-behind", "pD", 3 },
  { "changed-behind", "pC", 3 },
  { "new-behind", "pN", 3 },
  /* Before it: with its piece.  */
  { "deleted-before", "pE", 3 },
  { "changed-before", "pF", 3 },
  /* A record newer than the state, which the sender doesn't have, must not be
     dropped at the end.  */
  { "newer-here", "pGppc", 1 },
  /* The sender doesn't know of all deletions after the state any more.  */
  { "listed-anew", "pL", 5 },
  /* The receiver has read the platform, and so never heard of e, which was
     deleted: the piece that was under way would bring it back.  */
  { "overtaken", "pphEur", 0 },
  /* The same with bb, and nothing under way.  */
  { "overtaken-first", "hMur", 0 },
  { "old-sender", "pW", 0 },
  /* It is given up, and the whole asked for in one frame.  */
  { "endless", "pB", 1 },
  /* The same for the memory of what was seen.  */
  { "too-many", "bp", 1 },
  /* What was seen before is forgotten then: the last piece, which comes late,
     would drop it.  */
  { "endless-late", "pphBr", 1 },
};

static void
test_fault (gconstpointer data)
{
  const fault_case_t *fault = data;
  unsigned asks = 0;
  scenario_t scenario;

  scenario_start (&scenario);
  for (const char *code = fault->steps; *code != 0; code++)
    {
      g_test_message ("%c", *code);
      run_step (&scenario, *code);
      check_invariants (&scenario);
    }
  while (scenario.receiver->revision < scenario.sender->revision
         && asks < MAX_ASKS)
    {
      run_step (&scenario, 'p');
      check_invariants (&scenario);
      asks++;
    }
  check_equal (scenario.receiver, scenario.sender);
  g_assert_null (scenario.receiver->pieces);
  g_assert_cmpuint (asks, ==, fault->remaining_asks);
  scenario_end (&scenario);
}

static void
test_old_receiver (void)
{
  /* A program from before the pieces asks, and gets the whole in one frame.
     Were it given a piece, for which it has no eyes, it must leave it alone:
     all that the piece lacks would be deleted.  */
  scenario_t scenario;
  msg_config_part_t part;

  scenario_start (&scenario);
  store_make_part (scenario.sender, ROLE_ROUTER,
                   &(msg_config_ask_t){ .have = 4, .pieces = true }, 2000,
                   &part);
  g_assert_cmpuint (part.state, ==, scenario.sender->revision);
  part.state = 0;
  part.next.kind = 0;
  g_assert_false (store_apply_part (scenario.receiver, &part, 2000));
  check_invariants (&scenario);
  store_part_clear (&part);
  run_step (&scenario, 'W');
  check_equal (scenario.receiver, scenario.sender);
  scenario_end (&scenario);
}

static void
test_age (void)
{
  /* Only the end of the sender's own present state is as fresh as what the
     sender knows: else a receiver that lacks the rest takes work as if it had
     heard of all.  */
  scenario_t scenario;

  scenario_start (&scenario);
  scenario.sender->last_contact = 1500;
  run_step (&scenario, 'p');
  run_step (&scenario, 'F');
  run_step (&scenario, 'p');
  run_step (&scenario, 'p');
  g_assert_cmpuint (scenario.receiver->revision, <, scenario.sender->revision);
  g_assert_cmpuint (store_get_age_ms (scenario.receiver, 3000), ==, 2000);
  scenario.sender->last_contact = 2000;
  run_step (&scenario, 'p');
  g_assert_cmpuint (store_get_age_ms (scenario.receiver, 3000), ==, 1000);
  scenario_end (&scenario);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  log_setup ("test", LOG_ERROR, false);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path
          = g_strconcat ("/store-pieces/", cases[i].name, NULL);

      g_test_add_data_func (path, &cases[i], test_fault);
    }
  g_test_add_func ("/store-pieces/old-receiver", test_old_receiver);
  g_test_add_func ("/store-pieces/age", test_age);
  return g_test_run ();
}
