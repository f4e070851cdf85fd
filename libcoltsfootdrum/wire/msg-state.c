#include "wire/msg-state.h"

#include <string.h>

/* A stamp has milliseconds in its upper bits and a count of events within the
   millisecond in its lower bits.  */
#define COUNT_BITS 16
#define COUNT_MASK 0xffffu
#define MS_MASK (UINT64_MAX >> COUNT_BITS)
/* Most counts are below 8, so the short code has three bits for them.  */
#define SHORT_COUNT_BITS 3
#define SHORT_COUNT_MASK 7u
/* Set in a code with a full count.  */
#define CODE_HAS_FULL_COUNT 1u

void
msg_state_clear (msg_state_t *state)
{
  g_clear_pointer (&state->numbers, g_hash_table_unref);
  for (uint32_t i = 0; i < MSG_NAMES_MAX; i++)
    g_free (state->names[i]);
  memset (state, 0, sizeof *state);
}

/* Assigns the next number to NAME in place of the name that had it.  */
static char *
add_name (msg_state_t *state, const char *name)
{
  char **slot = &state->names[state->next_number];

  state->next_number = (state->next_number + 1) % MSG_NAMES_MAX;
  g_free (*slot);
  *slot = g_strdup (name);
  return *slot;
}

bool
msg_state_intern_name (msg_state_t *state, const char *name, uint32_t *number)
{
  gpointer found;
  const char *evicted = state->names[state->next_number];

  if (name[0] == 0)
    return false;
  if (state->numbers == NULL)
    state->numbers = g_hash_table_new (g_str_hash, g_str_equal);
  if (g_hash_table_lookup_extended (state->numbers, name, NULL, &found))
    {
      *number = GPOINTER_TO_UINT (found);
      return true;
    }
  *number = state->next_number;
  if (evicted != NULL)
    g_hash_table_remove (state->numbers, evicted);
  g_hash_table_insert (state->numbers, add_name (state, name),
                       GUINT_TO_POINTER (*number));
  return false;
}

void
msg_state_reset_names (msg_state_t *state, uint32_t next_number)
{
  if (state->numbers != NULL)
    g_hash_table_remove_all (state->numbers);
  for (uint32_t i = 0; i < MSG_NAMES_MAX; i++)
    g_clear_pointer (&state->names[i], g_free);
  state->next_number = next_number;
}

void
msg_state_add_name (msg_state_t *state, const char *name)
{
  if (name[0] != 0)
    (void)add_name (state, name);
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
  if (count <= SHORT_COUNT_MASK)
    *code = (ms << SHORT_COUNT_BITS | count) << 1;
  else
    *code = (ms << COUNT_BITS | count) << 1 | CODE_HAS_FULL_COUNT;
  return true;
}

uint64_t
msg_stamp_decode (uint64_t last, uint64_t code)
{
  bool has_full_count = code & CODE_HAS_FULL_COUNT;
  uint64_t bits = code >> 1;
  uint64_t ms = bits >> (has_full_count ? COUNT_BITS : SHORT_COUNT_BITS);
  uint64_t count = bits & (has_full_count ? COUNT_MASK : SHORT_COUNT_MASK);

  return ((last >> COUNT_BITS) + ms) << COUNT_BITS | count;
}
