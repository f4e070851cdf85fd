#include "wire/msg-state.h"

#include <string.h>

/* A stamp is milliseconds above a count of events within one.  */
#define COUNT_BITS 16
#define COUNT_MASK 0xffffu
#define MS_MASK (UINT64_MAX >> COUNT_BITS)
/* Most stamps have a count below 8: the short code has three bits for it.  */
#define SHORT_BITS 3
#define SHORT_MASK 7u
/* Lowest bit of a code that has the whole count.  */
#define CODE_LONG 1u

void
msg_state_clear (msg_state_t *state)
{
  g_clear_pointer (&state->numbers, g_hash_table_unref);
  for (uint32_t i = 0; i < MSG_NAMES_MAX; i++)
    g_free (state->names[i]);
  memset (state, 0, sizeof *state);
}

/* Gives NAME the next number, which a former name loses.  */
static char *
add (msg_state_t *state, const char *name)
{
  char **slot = &state->names[state->next];

  state->next = (state->next + 1) % MSG_NAMES_MAX;
  g_free (*slot);
  *slot = g_strdup (name);
  return *slot;
}

bool
msg_state_intern_name (msg_state_t *state, const char *name, uint32_t *number)
{
  gpointer known;
  const char *former = state->names[state->next];

  if (name[0] == 0)
    return false;
  if (state->numbers == NULL)
    state->numbers = g_hash_table_new (g_str_hash, g_str_equal);
  if (g_hash_table_lookup_extended (state->numbers, name, NULL, &known))
    {
      *number = GPOINTER_TO_UINT (known);
      return true;
    }
  *number = state->next;
  if (former != NULL)
    g_hash_table_remove (state->numbers, former);
  g_hash_table_insert (state->numbers, add (state, name),
                       GUINT_TO_POINTER (*number));
  return false;
}

void
msg_state_reset_names (msg_state_t *state, uint32_t next)
{
  if (state->numbers != NULL)
    g_hash_table_remove_all (state->numbers);
  for (uint32_t i = 0; i < MSG_NAMES_MAX; i++)
    g_clear_pointer (&state->names[i], g_free);
  state->next = next;
}

void
msg_state_add_name (msg_state_t *state, const char *name)
{
  if (name[0] != 0)
    (void)add (state, name);
}

const char *
msg_state_get_name (const msg_state_t *state, uint64_t number)
{
  return number < MSG_NAMES_MAX ? state->names[number] : NULL;
}

bool
msg_stamp_encode (uint64_t last, uint64_t stamp, uint64_t *code)
{
  uint64_t ms = ((stamp >> COUNT_BITS) - (last >> COUNT_BITS)) & MS_MASK;
  uint64_t count = stamp & COUNT_MASK;

  if (ms > MS_MASK / 2)
    return false;
  if (count <= SHORT_MASK)
    *code = (ms << SHORT_BITS | count) << 1;
  else
    *code = (ms << COUNT_BITS | count) << 1 | CODE_LONG;
  return true;
}

uint64_t
msg_stamp_decode (uint64_t last, uint64_t code)
{
  bool is_long = code & CODE_LONG;
  uint64_t both = code >> 1;
  uint64_t ms = both >> (is_long ? COUNT_BITS : SHORT_BITS);
  uint64_t count = both & (is_long ? COUNT_MASK : SHORT_MASK);

  return ((last >> COUNT_BITS) + ms) << COUNT_BITS | count;
}
