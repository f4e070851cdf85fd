/* Tests of a snapshot in pieces, with a table of the faults in store-pieces.c.
   In each case the receiver must reach the sender's configuration, and must
   never lose a record that was not deleted.  */

#include "base/log.h"
#include "config/test-store-help.h"

#include <string.h>

#define PIECE_RECORDS 2u
#define MAX_ASKS 20u
#define STEP_MS 10
#define WAIT_MS 5000

/* The receiver has listed the accounts a, b, c and d.  Then b was deleted and
   e added; the older peer has listed this.  Then c was changed and bb and f
   were added; the sender has listed this, which makes three pieces.  */
typedef struct
{
  sp_model_t *model;
  store_t *receiver;
  store_t *sender;
  store_t *older_peer;
  cfd_time_t now;
  bool has_g;
  bool is_d_deleted;
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

/* Applies to the sender all changes made in the platform.  */
static void
catch_up (scenario_t *scenario)
{
  g_autofree char *changes = sp_model_list_changes (
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

/* Makes FROM's answer to the receiver's ask, for the snapshot FROM_STATE, or
   for the one being received if that is 0.  As on the wire, the position in
   the ask stays valid when the receiver goes on.  */
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

/* Delivers the sender's answer to an ask without a position.  */
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

/* Delivers a piece whose NEXT is not after its AFTER.  */
static void
deliver_repeated_position (scenario_t *scenario)
{
  msg_config_part_t part;

  make_part (scenario, scenario->sender, 0, &part);
  part.next = part.after;
  store_apply_part (scenario->receiver, &part, scenario->now);
  store_part_clear (&part);
}

/* Adds g, and applies it to the receiver with a page of the platform's list
   that is not the last one.  */
static void
apply_page_with_g (scenario_t *scenario)
{
  g_autoptr (GHashTable) present = NULL;
  g_autofree char *text = NULL;
  g_autoptr (JsonObject) page = NULL;
  const char *next = NULL;
  uint64_t revision = 0;

  write_account (scenario->model, "g", "g");
  text = sp_model_list_changes (scenario->model, scenario->sender->revision,
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
    case 'd': /* the next piece, duplicated */
      deliver_piece (scenario, scenario->sender, 0, 2);
      return;
    case 'h': /* the next piece is made, and arrives late or never */
      make_part (scenario, scenario->sender, 0, &scenario->delayed);
      return;
    case 'r': /* the delayed piece arrives */
      store_apply_part (scenario->receiver, &scenario->delayed, scenario->now);
      return;
    case 'f': /* the answer to an ask sent before the first piece */
      deliver_first_part (scenario, true);
      return;
    case 'W': /* the answer of a sender without support for pieces */
      deliver_first_part (scenario, false);
      return;
    case 'o':
      deliver_piece (scenario, scenario->older_peer, 0, 1);
      return;
    case 'O': /* a piece of the older peer's snapshot, at the same position */
      deliver_piece (scenario, scenario->older_peer,
                     scenario->older_peer->revision, 1);
      return;
    case 's': /* the sender dies and another one continues */
      store_free (scenario->sender);
      scenario->sender = make_listed_store (scenario->model);
      deliver_piece (scenario, scenario->sender, 0, 1);
      return;
    case 'R': /* the sender has restarted and is still empty */
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
    case 'L': /* the sender gets a new list, without d */
      sp_model_write (scenario->model, "client-account", "d", NULL, 0);
      apply_list (scenario->sender, scenario->model);
      scenario->is_d_deleted = true;
      return;
    case 'u': /* the receiver gets a list from the platform */
      apply_list (scenario->receiver, scenario->model);
      return;
    case 'B':
      deliver_repeated_position (scenario);
      return;
    case 'b': /* the receiver's limit is below the size of the snapshot */
      scenario->receiver->max_snapshot_records = 1;
      return;
    default:
      g_assert_not_reached ();
    }
}

/* Checks the invariants that hold after every step.  */
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
  /* Deleted only at the end of a snapshot, which raises the revision.  */
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
  /* The revision rises only with the last of three pieces.  */
  { "in-order", "ppp", 0 },
  /* The next ask names the same position, and no piece is sent twice.  */
  { "lost", "ph", 2 },
  { "doubled", "pd", 1 },
  /* If it were accepted, the pieces would begin anew with each such answer. */
  { "late-first", "ppf", 1 },
  /* The last piece arrives after the snapshot was begun anew.  If it were
     accepted, the records of the piece in between would be deleted.  */
  { "late-last", "pphwfr", 2 },
  /* The same when no snapshot is being received, since the older one ended. */
  { "late-alone", "pphwoppr", 3 },
  /* The older peer's last piece lacks f, which would be missing for ever.  */
  { "older-state", "ppO", 1 },
  /* The same when it is asked to continue a snapshot newer than its own.  */
  { "older-asked", "ppo", 1 },
  /* When no other piece comes, the older snapshot is accepted: it takes 2 more
     pieces, and the newer one 3.  */
  { "older-alone", "pwo", 5 },
  { "replaced", "ps", 1 },
  { "restarted", "pR", 2 },
  /* Before the position: comes with the changes after the snapshot.  */
  { "deleted-behind", "pD", 3 },
  { "changed-behind", "pC", 3 },
  { "new-behind", "pN", 3 },
  /* After the position: comes with its piece.  */
  { "deleted-before", "pE", 3 },
  { "changed-before", "pF", 3 },
  /* A record that is newer than the snapshot and that the sender lacks must
     not be deleted at the end.  */
  { "newer-here", "pGppc", 1 },
  /* The sender no longer knows all deletions after the snapshot.  */
  { "listed-anew", "pL", 5 },
  /* The receiver has listed the platform and never had e, which was deleted.
     A delayed piece must not bring e back.  */
  { "overtaken", "pphEur", 0 },
  /* The same with bb, while no snapshot is being received.  */
  { "overtaken-first", "hMur", 0 },
  { "old-sender", "pW", 0 },
  /* The snapshot is abandoned, and the next ask is for one frame.  */
  { "endless", "pB", 1 },
  /* The same when the set of received records exceeds its limit.  */
  { "too-many", "bp", 1 },
  /* The set of received records is cleared then.  If the last piece, which
     arrives late, were accepted, all others would be deleted.  */
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
  /* A program without support for pieces asks and gets the snapshot in one
     frame.  It must ignore a piece, whose STATE it can't see; otherwise it
     would delete all records that the piece lacks.  */
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
  /* Only the last piece of the sender's newest snapshot has the sender's age.
     Otherwise a receiver that lacks the rest would take work as if it were up
     to date.  */
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
