/* A whole state in pieces against the faults of store-pieces.c, as a table:
   whatever happens on the way, the receiver comes to the sender's state, and
   on the way loses nothing that was never deleted.  */

#include "base/log.h"
#include "config/test-store-help.h"

#include <string.h>

#define PIECE 2u
#define ASKS_MAX 20u
#define STEP_MS 10
#define WAIT_MS 5000

/* The receiver has the accounts a, b, c and d.  Then b was deleted and e
   written, which is what the older peer lists; c was written anew, bb and f
   were added, which the sender and another peer list: three pieces.  */
typedef struct
{
  sp_model_t *model;
  store_t *to;
  store_t *sender;
  store_t *older;
  cfd_time_t now;
  bool has_g;
  bool lost_d; /* it was deleted */
  uint64_t seen;
  msg_config_part_t held;
} scene_t;

static store_t *
listed (const sp_model_t *model)
{
  store_t *store = store_new (NULL, NULL, NULL);

  store->max_piece_records = PIECE;
  take_list (store, model);
  return store;
}

static void
scene_start (scene_t *scene)
{
  static const char *const first[] = { "a", "b", "c", "d" };
  static const char *const later[] = { "c", "bb", "f" };

  *scene = (scene_t){ .model = sp_model_new (100), .now = 2000 };
  for (unsigned i = 0; i < G_N_ELEMENTS (first); i++)
    write_account (scene->model, first[i], first[i]);
  scene->to = listed (scene->model);
  sp_model_write (scene->model, "client-account", "b", NULL, 0);
  write_account (scene->model, "e", "e");
  scene->older = listed (scene->model);
  for (unsigned i = 0; i < G_N_ELEMENTS (later); i++)
    write_account (scene->model, later[i], "new");
  scene->sender = listed (scene->model);
}

static void
scene_end (scene_t *scene)
{
  store_part_clear (&scene->held);
  store_free (scene->to);
  store_free (scene->sender);
  store_free (scene->older);
  sp_model_free (scene->model);
}

/* The sender learns of what was written.  */
static void
catch_up (scene_t *scene)
{
  g_autofree char *changes
      = sp_model_list_changes (scene->model, scene->sender->revision, KINDS);

  take (scene->sender, changes, false);
}

static void
write_and_tell (scene_t *scene, const char *name, const char *key)
{
  if (key != NULL)
    write_account (scene->model, name, key);
  else
    sp_model_write (scene->model, "client-account", name, NULL, 0);
  catch_up (scene);
}

/* What FROM sends to the receiver's ask for the state of FROM_STATE, or for
   the one that it is at when that is 0.  As on the wire, the place outlives
   what the receiver does next.  */
static void
make (const scene_t *scene, const store_t *from, uint64_t from_state,
      msg_config_part_t *part)
{
  msg_config_ask_t ask;

  store_make_ask (scene->to, &ask);
  ask.after.name = g_intern_string (ask.after.name);
  if (from_state != 0)
    ask.state = from_state;
  store_make_part (from, ROLE_ROUTER, &ask, scene->now, part);
}

static void
take_from (scene_t *scene, const store_t *from, uint64_t from_state,
           unsigned times)
{
  msg_config_part_t part;

  make (scene, from, from_state, &part);
  for (unsigned i = 0; i < times; i++)
    store_apply_part (scene->to, &part, scene->now);
  store_part_clear (&part);
}

/* The sender's answer to an ask without a place.  */
static void
take_first (scene_t *scene, bool pieces)
{
  const msg_config_ask_t ask
      = { .have = scene->to->revision, .pieces = pieces };
  msg_config_part_t part;

  store_make_part (scene->sender, ROLE_ROUTER, &ask, scene->now, &part);
  store_apply_part (scene->to, &part, scene->now);
  store_part_clear (&part);
}

/* A piece after which the sender stands where it stood before.  */
static void
take_endless (scene_t *scene)
{
  msg_config_part_t part;

  make (scene, scene->sender, 0, &part);
  part.next = part.after;
  store_apply_part (scene->to, &part, scene->now);
  store_part_clear (&part);
}

/* The receiver has g from a page of the platform's list that goes on.  */
static void
take_page_with_g (scene_t *scene)
{
  g_autoptr (GHashTable) present = NULL;
  g_autofree char *text = NULL;
  g_autoptr (JsonObject) page = NULL;
  const char *next = NULL;
  uint64_t revision = 0;

  write_account (scene->model, "g", "g");
  text = sp_model_list_changes (scene->model, scene->sender->revision, KINDS);
  page = object_from (text);
  json_object_set_string_member (page, "next", "client-account/g");
  g_assert_true (store_take_page (scene->to, page, &present, &revision, &next,
                                  scene->now));
  scene->has_g = true;
}

static const struct
{
  char what;
  const char *name;
  const char *key; /* NULL deletes it */
} writes[] = {
  { 'D', "a", NULL },      { 'E', "e", NULL },      { 'M', "bb", NULL },
  { 'C', "a", "changed" }, { 'F', "f", "changed" }, { 'N', "aa", "aa" },
};

static void
step (scene_t *scene, char what)
{
  g_autoptr (store_t) empty = store_new (NULL, NULL, NULL);

  for (unsigned i = 0; i < G_N_ELEMENTS (writes); i++)
    if (writes[i].what == what)
      {
        write_and_tell (scene, writes[i].name, writes[i].key);
        return;
      }
  switch (what)
    {
    case 'p': /* the next piece */
      take_from (scene, scene->sender, 0, 1);
      return;
    case 'd': /* the same, doubled */
      take_from (scene, scene->sender, 0, 2);
      return;
    case 'h': /* it is on its way, and comes late or never */
      make (scene, scene->sender, 0, &scene->held);
      return;
    case 'r': /* what was held comes */
      store_apply_part (scene->to, &scene->held, scene->now);
      return;
    case 'f': /* the answer to an ask of before the first piece */
      take_first (scene, true);
      return;
    case 'W': /* a sender that knows no pieces */
      take_first (scene, false);
      return;
    case 'o':
      take_from (scene, scene->older, 0, 1);
      return;
    case 'O': /* the older peer's piece of its own state, at the same place */
      take_from (scene, scene->older, scene->older->revision, 1);
      return;
    case 's': /* the sender is dead, the other takes its place */
      store_free (scene->sender);
      scene->sender = listed (scene->model);
      take_from (scene, scene->sender, 0, 1);
      return;
    case 'R': /* the sender restarted and has nothing yet */
      take_from (scene, empty, 0, 1);
      return;
    case 'w':
      scene->now += WAIT_MS;
      return;
    case 'G':
      take_page_with_g (scene);
      return;
    case 'c':
      catch_up (scene);
      return;
    case 'L': /* the sender lists anew, and so learns that d is gone */
      sp_model_write (scene->model, "client-account", "d", NULL, 0);
      take_list (scene->sender, scene->model);
      scene->lost_d = true;
      return;
    case 'u': /* the receiver reads the platform itself */
      take_list (scene->to, scene->model);
      return;
    case 'B':
      take_endless (scene);
      return;
    case 'b': /* it bears less than the state has */
      scene->to->state_records = 1;
      return;
    default:
      g_assert_not_reached ();
    }
}

/* What must hold at every moment.  */
static void
check (scene_t *scene)
{
  const store_t *to = scene->to;

  scene->now += STEP_MS;
  g_assert_cmpuint (to->revision, >=, scene->seen);
  scene->seen = to->revision;
  g_assert_true (scene->lost_d || store_get (to, REC_ACCOUNT, "d") != NULL);
  g_assert_true (!scene->has_g || store_get (to, REC_ACCOUNT, "g") != NULL);
  /* Dropped at an end alone: the revision tells that it came.  */
  g_assert_true ((store_get (to, REC_ACCOUNT, "b") != NULL)
                 == (to->revision <= 4));
}

static void
check_same (const store_t *to, const store_t *sender)
{
  static const char *const names[]
      = { "a", "aa", "b", "bb", "c", "d", "e", "f", "g" };

  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    {
      const rec_t *here = store_get (to, REC_ACCOUNT, names[i]);
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
  unsigned more; /* asks until the receiver has the sender's state */
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
  scene_t scene;

  scene_start (&scene);
  for (const char *what = fault->steps; *what != 0; what++)
    {
      g_test_message ("%c", *what);
      step (&scene, *what);
      check (&scene);
    }
  while (scene.to->revision < scene.sender->revision && asks < ASKS_MAX)
    {
      step (&scene, 'p');
      check (&scene);
      asks++;
    }
  check_same (scene.to, scene.sender);
  g_assert_null (scene.to->pieces);
  g_assert_cmpuint (asks, ==, fault->more);
  scene_end (&scene);
}

static void
test_old_receiver (void)
{
  /* A program from before the pieces asks, and gets the whole in one frame.
     Were it given a piece, for which it has no eyes, it must leave it alone:
     all that the piece lacks would be deleted.  */
  scene_t scene;
  msg_config_part_t part;

  scene_start (&scene);
  store_make_part (scene.sender, ROLE_ROUTER,
                   &(msg_config_ask_t){ .have = 4, .pieces = true }, 2000,
                   &part);
  g_assert_cmpuint (part.state, ==, scene.sender->revision);
  part.state = 0;
  part.next.kind = 0;
  g_assert_false (store_apply_part (scene.to, &part, 2000));
  check (&scene);
  store_part_clear (&part);
  step (&scene, 'W');
  check_same (scene.to, scene.sender);
  scene_end (&scene);
}

static void
test_age (void)
{
  /* Only the end of the sender's own present state is as fresh as what the
     sender knows: else a receiver that lacks the rest takes work as if it had
     heard of all.  */
  scene_t scene;

  scene_start (&scene);
  scene.sender->heard = 1500;
  step (&scene, 'p');
  step (&scene, 'F');
  step (&scene, 'p');
  step (&scene, 'p');
  g_assert_cmpuint (scene.to->revision, <, scene.sender->revision);
  g_assert_cmpuint (store_get_age_ms (scene.to, 3000), ==, 2000);
  scene.sender->heard = 2000;
  step (&scene, 'p');
  g_assert_cmpuint (store_get_age_ms (scene.to, 3000), ==, 1000);
  scene_end (&scene);
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
