#include "once/write-ages.h"

#define SCHEMA 1
/* A bound is dropped when the ages of its neighbours differ by no more than
   this factor.  About a hundred bounds then cover seconds to a month, and a
   claim is kept at most an eighth longer.  */
#define MAX_REDUNDANT_RATIO 1.125
/* No claim is kept longer, so one bound beyond this age is enough.  */
#define MAX_AGE_MS (G_GINT64_CONSTANT (60) * 24 * 3600 * 1000)

typedef struct
{
  uint64_t revision;
  int64_t age_ms;
} age_bound_t;

struct write_ages
{
  GArray *bounds; /* of age_bound_t, newest first */
};

static age_bound_t *
get_bound (const write_ages_t *ages, guint i)
{
  return &g_array_index (ages->bounds, age_bound_t, i);
}

write_ages_t *
write_ages_new (void)
{
  write_ages_t *ages = g_new0 (write_ages_t, 1);

  ages->bounds = g_array_new (FALSE, FALSE, sizeof (age_bound_t));
  return ages;
}

void
write_ages_free (write_ages_t *ages)
{
  if (ages == NULL)
    return;
  g_array_unref (ages->bounds);
  g_free (ages);
}

/* Appends NODE as the next older bound; false when it is malformed or out of
   order.  */
static bool
append_bound (write_ages_t *ages, JsonNode *node)
{
  age_bound_t bound;
  JsonObject *object;

  if (!JSON_NODE_HOLDS_OBJECT (node))
    return false;
  object = json_node_get_object (node);
  bound.revision = (uint64_t)json_object_get_int_member_with_default (
      object, "revision", 0);
  bound.age_ms
      = json_object_get_int_member_with_default (object, "age_ms", -1);
  if (bound.revision == 0 || bound.age_ms < 0)
    return false;
  if (ages->bounds->len > 0)
    {
      const age_bound_t *younger = get_bound (ages, ages->bounds->len - 1);

      if (bound.revision >= younger->revision
          || bound.age_ms < younger->age_ms)
        return false;
    }
  g_array_append_val (ages->bounds, bound);
  return true;
}

/* The array of bounds in SPEC; NULL when the schema is unknown or there is
   none.  */
static JsonArray *
get_bounds (JsonObject *spec)
{
  JsonNode *node = json_object_get_member (spec, "marks");

  if (json_object_get_int_member_with_default (spec, "schema", 0) != SCHEMA)
    return NULL;
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return NULL;
  return json_node_get_array (node);
}

write_ages_t *
write_ages_parse (JsonObject *spec)
{
  JsonArray *bounds = get_bounds (spec);
  write_ages_t *ages;

  if (bounds == NULL)
    return NULL;
  ages = write_ages_new ();
  for (guint i = 0; i < json_array_get_length (bounds); i++)
    if (!append_bound (ages, json_array_get_element (bounds, i)))
      {
        write_ages_free (ages);
        return NULL;
      }
  return ages;
}

JsonObject *
write_ages_to_spec (const write_ages_t *ages)
{
  JsonObject *spec = json_object_new ();
  JsonArray *bounds = json_array_new ();

  for (guint i = 0; i < ages->bounds->len; i++)
    {
      JsonObject *bound = json_object_new ();

      json_object_set_int_member (bound, "revision",
                                  (gint64)get_bound (ages, i)->revision);
      json_object_set_int_member (bound, "age_ms",
                                  get_bound (ages, i)->age_ms);
      json_array_add_object_element (bounds, bound);
    }
  json_object_set_int_member (spec, "schema", SCHEMA);
  json_object_set_array_member (spec, "marks", bounds);
  return spec;
}

/* Whether the neighbours of bound I are so close in age that it can be
   dropped.  */
static bool
is_redundant (const write_ages_t *ages, guint i)
{
  const age_bound_t *younger = get_bound (ages, i - 1);
  const age_bound_t *older = get_bound (ages, i + 1);

  return (double)older->age_ms
         <= (double)younger->age_ms * MAX_REDUNDANT_RATIO;
}

static void
drop_redundant (write_ages_t *ages)
{
  for (guint i = 1; i + 1 < ages->bounds->len;)
    if (is_redundant (ages, i) || get_bound (ages, i)->age_ms >= MAX_AGE_MS)
      /* Beyond MAX_AGE_MS the next older bound adds nothing.  */
      g_array_remove_index (
          ages->bounds, get_bound (ages, i)->age_ms >= MAX_AGE_MS ? i + 1 : i);
    else
      i++;
}

void
write_ages_advance (write_ages_t *ages, uint64_t revision, int64_t held_ms)
{
  age_bound_t newest = { revision, held_ms };

  if (held_ms < 0)
    return;
  for (guint i = 0; i < ages->bounds->len; i++)
    get_bound (ages, i)->age_ms += held_ms;
  /* A platform restored from a backup reuses revision numbers: bounds of the
     same or a higher revision would overstate the age of its new writes.  */
  while (ages->bounds->len > 0 && get_bound (ages, 0)->revision >= revision)
    g_array_remove_index (ages->bounds, 0);
  g_array_prepend_val (ages->bounds, newest);
  drop_redundant (ages);
}

int64_t
write_ages_get_age_ms (const write_ages_t *ages, uint64_t revision)
{
  int64_t age_ms = 0;

  for (guint i = 0; i < ages->bounds->len; i++)
    if (get_bound (ages, i)->revision >= revision)
      age_ms = get_bound (ages, i)->age_ms;
    else
      break;
  return age_ms;
}

int64_t
write_ages_get_oldest_ms (const write_ages_t *ages)
{
  guint count = ages->bounds->len;

  return count == 0 ? 0 : get_bound (ages, count - 1)->age_ms;
}

unsigned
write_ages_count (const write_ages_t *ages)
{
  return ages->bounds->len;
}
