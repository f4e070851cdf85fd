/* Tests of which lines belong to the head of a response.  */

#include "http/syn.h"

#include <glib.h>
#include <string.h>

static void
test_status_line (void)
{
  static const struct
  {
    const char *line;
    unsigned status;
  } rows[] = {
    { "HTTP/1.1 200 OK", 200 },
    { "HTTP/1.1 200 ", 200 },
    { "HTTP/1.1 200", 200 },
    { "HTTP/1.0 404 Not Found", 404 },
    { "HTTP/1.1 100 Continue", 100 },
    { "HTTP/1.1 103 Early Hints", 103 },
    { "HTTP/1.1 599 Z", 599 },
    { "HTTP/1.1 101 S", 0 },
    { "HTTP/1.1 000 Z", 0 },
    { "HTTP/1.1 099 Z", 0 },
    { "HTTP/1.1 600 Z", 0 },
    { "HTTP/1.1 2 OK", 0 },
    { "HTTP/1.1 0200 OK", 0 },
    { "HTTP/1.1 200OK", 0 },
    { "HTTP/1.1 2O0 OK", 0 },
    { "HTTP/1.1  200 OK", 0 },
    { "HTTP/1.1", 0 },
    { "HTTP/2.0 200 OK", 0 },
    { "HTTP/2 200 OK", 0 },
    { "HTTP/0.9 200 OK", 0 },
    { "http/1.1 200 OK", 0 },
    { " HTTP/1.1 200 OK", 0 },
    { "", 0 },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_test_message ("%s", rows[i].line);
      g_assert_cmpuint (
          syn_parse_status_line (rows[i].line, strlen (rows[i].line)), ==,
          rows[i].status);
    }
}

static void
test_final_status (void)
{
  static const struct
  {
    int64_t status;
    bool is_final;
  } rows[] = {
    { 200, true },
    { 599, true },
    { 0, false },
    { 100, false },
    { 199, false },
    { 600, false },
    { -1, false },
    { INT64_C (0x80000000) | 200, false },
    { (INT64_C (1) << 32) + 200, false },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    g_assert_cmpint (syn_is_final_status (rows[i].status), ==,
                     rows[i].is_final);
}

static void
test_field (void)
{
  static const struct
  {
    const char *line;
    bool is_field;
  } rows[] = {
    { "X-Id: 1", true },   { "X-Id:1", true },
    { "X-Id:", true },     { "!#$%&'*+-.^_`|~:", true },
    { "X: a\tb", true },   { "X: \303\244", true },
    { "X: a: b", true },   { "X Y: 1", false },
    { " X: 1", false },    { "X : 1", false },
    { "X\tY: 1", false },  { "X\001: 1", false },
    { "X\177: 1", false }, { "X\303: 1", false },
    { "X", false },        { ": 1", false },
    { "", false },         { "X: a\001", false },
    { "X: a\177", false }, { "X(: 1", false },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_test_message ("row %zu", i);
      g_assert_cmpint (syn_is_field (rows[i].line, strlen (rows[i].line)), ==,
                       rows[i].is_field);
    }
  g_assert_false (syn_is_field ("X\0Y: 1", 6));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/syn/status-line", test_status_line);
  g_test_add_func ("/syn/final-status", test_final_status);
  g_test_add_func ("/syn/field", test_field);
  return g_test_run ();
}
