/* Runs a fuzz target (LLVMFuzzerTestOneInput) without libFuzzer, as a short
   test: each file given is an input, and so are random changes of them.  Run
   number N depends on the seed and on N alone, so that

     fuzz-run-http --seed 1 --first N --runs 1 FILES

   repeats it.  On a finding the program ends with the number in its output. */

#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

/* Most changes of one input, and the largest input.  */
#define MAX_CHANGES 4
#define MAX_INPUT_BYTES 4096u

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static int first_run;
static int run_count = 20000;
static int seed = 1;
static char **files;

static const GOptionEntry options[]
    = { { "first", 0, 0, G_OPTION_ARG_INT, &first_run, "first run", "N" },
        { "runs", 0, 0, G_OPTION_ARG_INT, &run_count, "number of runs", "N" },
        { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed of the changes", "N" },
        { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &files,
          "inputs", "FILE..." },
        G_OPTION_ENTRY_NULL };

/* The run under way, for the handler of a fatal signal.  */
static volatile sig_atomic_t current_run;

static void
report_run (int signal_number)
{
  static char text[] = "# failed in run 0000000000\n";
  char *digit = text + sizeof text - 3;

  for (long number = current_run; number > 0; number /= 10)
    *digit-- = (char)('0' + number % 10);
  (void)!write (STDOUT_FILENO, text, sizeof text - 1);
  (void)signal (signal_number, SIG_DFL);
  (void)raise (signal_number);
}

/* Values at which decoders change their course: heads of msgpack arrays and
   numbers, ends of ranges, and what separates parts of texts.  */
static const uint8_t special_bytes[]
    = { 0x00, 0x01, 0x7f, 0x80, 0xff, 0x90, 0x9f, 0xcf, 0xdc,
        0xdd, 0xd9, 0xdb, '\n', '\r', ':',  ',',  '[',  '{',
        '"',  '\\', '/',  '-',  '9',  'e',  ' ' };

static void
change_byte (GByteArray *input, GRand *random)
{
  guint at = (guint)g_rand_int_range (random, 0, (gint32)input->len);

  if (g_rand_boolean (random))
    input->data[at] = (uint8_t)g_rand_int_range (random, 0, 256);
  else
    input->data[at] = special_bytes[g_rand_int_range (
        random, 0, (gint32)G_N_ELEMENTS (special_bytes))];
}

/* Repeats a part of INPUT at its end, or removes it.  */
static void
change_part (GByteArray *input, GRand *random, bool removes)
{
  guint at = (guint)g_rand_int_range (random, 0, (gint32)input->len);
  guint length
      = 1 + (guint)g_rand_int_range (random, 0, (gint32)(input->len - at));
  g_autofree uint8_t *part = NULL;

  if (removes)
    {
      g_byte_array_remove_range (input, at, length);
      return;
    }
  if (input->len + length > MAX_INPUT_BYTES)
    return;
  part = g_memdup2 (input->data + at, length);
  g_byte_array_append (input, part, length);
}

static void
change_input (GByteArray *input, GRand *random)
{
  int changes = g_rand_int_range (random, 1, MAX_CHANGES + 1);

  for (int i = 0; i < changes && input->len > 0; i++)
    switch (g_rand_int_range (random, 0, 4))
      {
      case 0:
        change_part (input, random, true);
        break;
      case 1:
        change_part (input, random, false);
        break;
      default:
        change_byte (input, random);
        break;
      }
}

static void
run_changed (const GPtrArray *inputs, int number)
{
  g_autoptr (GRand) random
      = g_rand_new_with_seed ((guint32)seed * 0x9e3779b9u + (guint32)number);
  const GBytes *input = g_ptr_array_index (
      inputs, (guint)g_rand_int_range (random, 0, (gint32)inputs->len));
  g_autoptr (GByteArray) changed = g_byte_array_new ();
  gsize length;
  const guint8 *bytes = g_bytes_get_data ((GBytes *)input, &length);

  g_byte_array_append (changed, bytes, (guint)length);
  change_input (changed, random);
  LLVMFuzzerTestOneInput (changed->data, changed->len);
}

static GPtrArray *
read_inputs (void)
{
  GPtrArray *inputs
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);

  for (char **file = files; file != NULL && *file != NULL; file++)
    {
      g_autoptr (GError) error = NULL;
      char *text = NULL;
      gsize length;

      if (!g_file_get_contents (*file, &text, &length, &error))
        g_error ("%s", error->message);
      g_ptr_array_add (inputs, g_bytes_new_take (text, length));
    }
  return inputs;
}

int
main (int argc, char **argv)
{
  g_autoptr (GOptionContext) context = g_option_context_new ("FILE...");
  g_autoptr (GPtrArray) inputs = NULL;
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      g_printerr ("%s\n", error->message);
      return 2;
    }
  inputs = read_inputs ();
  if (inputs->len == 0)
    {
      g_printerr ("Give at least one file.\n");
      return 2;
    }
  (void)signal (SIGABRT, report_run);
  (void)signal (SIGSEGV, report_run);
  g_print ("1..1\n");
  for (guint i = 0; i < inputs->len; i++)
    {
      gsize length;
      const uint8_t *bytes
          = g_bytes_get_data (g_ptr_array_index (inputs, i), &length);

      LLVMFuzzerTestOneInput (bytes, length);
    }
  for (int i = first_run; i < first_run + run_count; i++)
    {
      current_run = i;
      run_changed (inputs, i);
    }
  g_print ("ok 1 /%s/seed-%d\n", g_get_prgname (), seed);
  g_strfreev (files);
  return 0;
}
