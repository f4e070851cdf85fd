#include "once/marks.h"

#define SCHEMA 1
/* A mark goes when its neighbours' ages are so close: about a hundred marks
   reach from seconds to a month, and a claim is kept at most an eighth longer
   for it.  */
#define CLOSE 1.125
/* Nothing is kept longer; one mark beyond is enough.  */
#define OLDEST_MS (G_GINT64_CONSTANT (60) * 24 * 3600 * 1000)

typedef struct
{
  uint64_t revision;
  int64_t age_ms;
} mark_t;

struct marks
{
  GArray *list; /* of mark_t, newest first */
};

static mark_t *
at (const marks_t *marks, guint i)
{
  return &g_array_index (marks->list, mark_t, i);
}

marks_t *
marks_new (void)
{
  marks_t *marks = g_new0 (marks_t, 1);

  marks->list = g_array_new (FALSE, FALSE, sizeof (mark_t));
  return marks;
}

void
marks_free (marks_t *marks)
{
  if (marks == NULL)
    return;
  g_array_unref (marks->list);
  g_free (marks);
}

/* Takes NODE as the next older mark; false when it can't be.  */
static bool
append_node (marks_t *marks, JsonNode *node)
{
  mark_t mark;
  JsonObject *object;

  if (!JSON_NODE_HOLDS_OBJECT (node))
    return false;
  object = json_node_get_object (node);
  mark.revision = (uint64_t)json_object_get_int_member_with_default (
      object, "revision", 0);
  mark.age_ms = json_object_get_int_member_with_default (object, "age_ms", -1);
  if (mark.revision == 0 || mark.age_ms < 0)
    return false;
  if (marks->list->len > 0)
    {
      const mark_t *younger = at (marks, marks->list->len - 1);

      if (mark.revision >= younger->revision || mark.age_ms < younger->age_ms)
        return false;
    }
  g_array_append_val (marks->list, mark);
  return true;
}

/* The array of marks in SPEC, or NULL.  */
static JsonArray *
list_of (JsonObject *spec)
{
  JsonNode *node = json_object_get_member (spec, "marks");

  if (json_object_get_int_member_with_default (spec, "schema", 0) != SCHEMA)
    return NULL;
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return NULL;
  return json_node_get_array (node);
}

marks_t *
marks_parse (JsonObject *spec)
{
  JsonArray *list = list_of (spec);
  marks_t *marks;

  if (list == NULL)
    return NULL;
  marks = marks_new ();
  for (guint i = 0; i < json_array_get_length (list); i++)
    if (!append_node (marks, json_array_get_element (list, i)))
      {
        marks_free (marks);
        return NULL;
      }
  return marks;
}

JsonObject *
marks_spec (const marks_t *marks)
{
  JsonObject *spec = json_object_new ();
  JsonArray *list = json_array_new ();

  for (guint i = 0; i < marks->list->len; i++)
    {
      JsonObject *mark = json_object_new ();

      json_object_set_int_member (mark, "revision",
                                  (gint64)at (marks, i)->revision);
      json_object_set_int_member (mark, "age_ms", at (marks, i)->age_ms);
      json_array_add_object_element (list, mark);
    }
  json_object_set_int_member (spec, "schema", SCHEMA);
  json_object_set_array_member (spec, "marks", list);
  return spec;
}

/* Whether mark I between its neighbours tells too little to be kept.  */
static bool
is_close (const marks_t *marks, guint i)
{
  const mark_t *younger = at (marks, i - 1);
  const mark_t *older = at (marks, i + 1);

  return (double)older->age_ms <= (double)younger->age_ms * CLOSE;
}

static void
thin (marks_t *marks)
{
  for (guint i = 1; i + 1 < marks->list->len;)
    if (is_close (marks, i) || at (marks, i)->age_ms >= OLDEST_MS)
      /* Past the oldest age the next one down the list tells no more.  */
      g_array_remove_index (marks->list,
                            at (marks, i)->age_ms >= OLDEST_MS ? i + 1 : i);
    else
      i++;
}

void
marks_grow (marks_t *marks, uint64_t revision, int64_t held_ms)
{
  mark_t newest = { revision, held_ms };

  if (held_ms < 0)
    return;
  for (guint i = 0; i < marks->list->len; i++)
    at (marks, i)->age_ms += held_ms;
  /* A platform that was restored from an old copy counts anew: what it wrote
     is younger than any mark with a higher revision tells.  */
  while (marks->list->len > 0 && at (marks, 0)->revision >= revision)
    g_array_remove_index (marks->list, 0);
  g_array_prepend_val (marks->list, newest);
  thin (marks);
}

int64_t
marks_age (const marks_t *marks, uint64_t revision)
{
  int64_t age_ms = 0;

  for (guint i = 0; i < marks->list->len; i++)
    if (at (marks, i)->revision >= revision)
      age_ms = at (marks, i)->age_ms;
    else
      break;
  return age_ms;
}

int64_t
marks_oldest (const marks_t *marks)
{
  guint count = marks->list->len;

  return count == 0 ? 0 : at (marks, count - 1)->age_ms;
}

unsigned
marks_count (const marks_t *marks)
{
  return marks->list->len;
}
