/* Reader: HTTP/1.1 messages, parsed by libhttp-parser.  */

#include "relay/rd.h"

#include "http/syn.h"
#include <http_parser.h>
#include <string.h>

/* The start of a status line: D stands for a digit, and N for any other byte.
   The parser doesn't check the number of digits.  */
#define STATUS_LINE "HTTP/1.D DDDN"
#define STATUS_LINE_BYTES (sizeof STATUS_LINE - 1)

/* Where the parser is paused, in the middle of its input.  */
typedef enum
{
  PAUSE_NONE,
  PAUSE_IN_STATUS_LINE, /* after its first byte */
  PAUSE_AFTER_HEAD      /* before its last byte */
} pause_t;

/* What may come next outside of the body.  */
typedef enum
{
  NEXT_ANY,
  NEXT_LF, /* after CR */
  NEXT_CR  /* after the data of a chunk */
} next_t;

struct rd
{
  http_parser parser;
  rd_kind_t kind;
  const rd_ops_t *ops;
  void *user;
  size_t max_head_bytes;
  size_t head_bytes;
  uint64_t read_bytes; /* of the message, interim responses included */
  uint64_t body_bytes;
  GString *target;
  GString *name;
  GString *value;
  rd_head_t head;
  const char *fed;       /* the bytes that are being parsed */
  char last_byte;        /* the last one before them that is not blank */
  const char *unchecked; /* the first one of which line ends are unchecked */
  next_t next;
  pause_t pause;
  size_t status_line_read; /* bytes of STATUS_LINE that were checked */
  bool is_malformed;       /* in a way that the parser accepts */
  bool in_value;
  bool head_done;
  bool started;
  bool complete;
  bool too_large;
  bool no_body;
};

static rd_t *
get_reader (http_parser *parser)
{
  return parser->data;
}

/* Counts bytes of the head.  Returns false when it exceeds its limit.  */
static bool
count_head_bytes (rd_t *rd, size_t length)
{
  rd->head_bytes += length;
  if (rd->head_bytes <= rd->max_head_bytes)
    return true;
  rd->too_large = true;
  return false;
}

static void
store_field (rd_t *rd)
{
  if (!rd->in_value)
    return;
  hdr_add (&rd->head.fields, rd->name->str, rd->value->str);
  g_string_truncate (rd->name, 0);
  g_string_truncate (rd->value, 0);
  rd->in_value = false;
}

/* Returns whether the message has more bytes that don't belong to its body
   than any useful one.  Without that limit a sender of interim
   responses or chunk extensions would be read without end.  */
static bool
is_excessive (const rd_t *rd)
{
  uint64_t overhead = rd->read_bytes - MIN (rd->body_bytes, rd->read_bytes);

  return overhead > (uint64_t)rd->max_head_bytes * RD_OVERHEAD_PER_HEAD_BYTE
                        + rd->body_bytes * RD_OVERHEAD_PER_BODY_BYTE;
}

static void
pause_parser (rd_t *rd, pause_t pause)
{
  rd->pause = pause;
  http_parser_pause (&rd->parser, 1);
}

/* Checks the bytes up to END, which don't belong to the body.  The parser
   accepts any byte after CR, and any two after the data of a chunk.  */
static void
check_line_ends (rd_t *rd, const char *end)
{
  for (; rd->unchecked < end; rd->unchecked++)
    {
      char byte = *rd->unchecked;

      switch (rd->next)
        {
        case NEXT_ANY:
          break;
        case NEXT_LF:
          rd->is_malformed |= byte != '\n';
          break;
        case NEXT_CR:
          rd->is_malformed |= byte != '\r';
          break;
        }
      rd->next = byte == '\r' ? NEXT_LF : NEXT_ANY;
    }
}

/* Pauses so that the status line is checked before it is parsed.  */
static int
on_begin (http_parser *parser)
{
  rd_t *rd = get_reader (parser);

  rd->started = true;
  if (rd->kind == RD_REQUESTS)
    return 0;
  rd->status_line_read = 1;
  pause_parser (rd, PAUSE_IN_STATUS_LINE);
  return 0;
}

static int
on_target (http_parser *parser, const char *at, size_t length)
{
  rd_t *rd = get_reader (parser);

  g_string_append_len (rd->target, at, (gssize)length);
  return count_head_bytes (rd, length) ? 0 : 1;
}

static int
on_name (http_parser *parser, const char *at, size_t length)
{
  rd_t *rd = get_reader (parser);

  store_field (rd);
  rd->too_large |= hdr_count (&rd->head.fields) >= RD_MAX_FIELDS;
  if (rd->too_large || !syn_is_name (at, length))
    return 1;
  g_string_append_len (rd->name, at, (gssize)length);
  return count_head_bytes (rd, length) ? 0 : 1;
}

static bool
is_blank (char byte)
{
  return byte == ' ' || byte == '\t';
}

/* Returns the last byte before AT that is not blank.  */
static char
find_byte_before (const rd_t *rd, const char *at)
{
  while (at > rd->fed && is_blank (at[-1]))
    at--;
  return at > rd->fed ? at[-1] : rd->last_byte;
}

/* The parser doesn't check the first byte of a value.  */
static bool
has_control_byte (const char *at, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (g_ascii_iscntrl (at[i]) && at[i] != '\t')
      return true;
  return false;
}

/* Rejects a value that continues on a new line, as RFC 9112 allows: the line
   may also be a field whose name begins with a blank.  */
static int
on_value (http_parser *parser, const char *at, size_t length)
{
  rd_t *rd = get_reader (parser);

  if (has_control_byte (at, length)
      || (length > 0 && find_byte_before (rd, at) == '\n'))
    return 1;
  rd->in_value = true;
  g_string_append_len (rd->value, at, (gssize)length);
  return count_head_bytes (rd, length) ? 0 : 1;
}

static bool
is_interim (const http_parser *parser)
{
  return parser->type == HTTP_RESPONSE && parser->status_code / 100 == 1;
}

/* Returns whether VALUE is "chunked", the one coding that is supported.  */
static bool
is_chunked (const char *value)
{
  static const char word[] = "chunked";

  value += strspn (value, " \t");
  if (g_ascii_strncasecmp (value, word, strlen (word)) != 0)
    return false;
  value += strlen (word);
  return value[strspn (value, " \t")] == '\0';
}

/* Returns whether the body can be read: its coding is chunked, or it has
   none.  */
static bool
has_known_coding (const hdr_t *fields)
{
  unsigned codings = 0;

  for (guint i = 0; i < hdr_count (fields); i++)
    {
      if (g_ascii_strcasecmp (hdr_get_name (fields, i), "Transfer-Encoding")
          != 0)
        continue;
      if (codings++ > 0 || !is_chunked (hdr_get_value (fields, i)))
        return false;
    }
  return true;
}

/* Returns whether a message that has neither a length nor chunked encoding has
   no body: requests, and responses with these statuses.  */
static bool
has_no_body (const http_parser *parser)
{
  return parser->type == HTTP_REQUEST || parser->status_code == 204
         || parser->status_code == 304;
}

static rd_framing_t
find_framing (const rd_t *rd, int64_t length)
{
  if ((rd->parser.flags & F_CHUNKED) != 0)
    return RD_CHUNKS;
  if (length >= 0 || rd->no_body || has_no_body (&rd->parser))
    return RD_LENGTH;
  return RD_UNTIL_CLOSE;
}

static int
on_head (http_parser *parser)
{
  rd_t *rd = get_reader (parser);
  rd_head_t *head = &rd->head;

  store_field (rd);
  if (rd->kind == RD_RESPONSES && !syn_is_status (parser->status_code))
    return -1;
  /* Protocol upgrades are not supported; the parser would stop here.  */
  parser->upgrade = 0;
  if (is_interim (parser))
    return 0;
  if (!has_known_coding (&head->fields))
    return -1;
  rd->head_done = true;
  head->method = http_method_str (parser->method);
  head->target = rd->target->str;
  head->status = parser->status_code;
  head->is_http10 = parser->http_major == 1 && parser->http_minor == 0;
  head->keep_alive = http_should_keep_alive (parser) != 0;
  head->length = parser->content_length == UINT64_MAX
                     ? -1
                     : (int64_t)parser->content_length;
  head->framing = find_framing (rd, head->length);
  if ((parser->flags & F_CHUNKED) != 0)
    head->length = -1;
  /* The head is reported when its line ends were checked.  */
  pause_parser (rd, PAUSE_AFTER_HEAD);
  return rd->no_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  rd_t *rd = get_reader (parser);

  check_line_ends (rd, at);
  if (rd->is_malformed)
    return 1;
  rd->unchecked = at + length;
  if ((parser->flags & F_CHUNKED) != 0)
    rd->next = NEXT_CR;
  rd->body_bytes += length;
  rd->ops->body (rd->user, at, length);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  rd_t *rd = get_reader (parser);

  if (is_interim (parser))
    {
      hdr_reset (&rd->head.fields);
      return 0;
    }
  rd->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_url = on_target,
  .on_header_field = on_name,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

rd_t *
rd_new (rd_kind_t kind, size_t max_head_bytes, const rd_ops_t *ops, void *user)
{
  rd_t *rd = g_new0 (rd_t, 1);

  rd->kind = kind;
  rd->max_head_bytes = max_head_bytes;
  rd->ops = ops;
  rd->user = user;
  rd->target = g_string_new (NULL);
  rd->name = g_string_new (NULL);
  rd->value = g_string_new (NULL);
  hdr_init (&rd->head.fields);
  rd_reset (rd);
  return rd;
}

void
rd_free (rd_t *rd)
{
  if (rd == NULL)
    return;
  g_string_free (rd->target, TRUE);
  g_string_free (rd->name, TRUE);
  g_string_free (rd->value, TRUE);
  hdr_clear (&rd->head.fields);
  g_free (rd);
}

void
rd_set_max_head_bytes (rd_t *rd, size_t max_head_bytes)
{
  rd->max_head_bytes = max_head_bytes;
}

void
rd_reset (rd_t *rd)
{
  http_parser_init (&rd->parser,
                    rd->kind == RD_REQUESTS ? HTTP_REQUEST : HTTP_RESPONSE);
  rd->parser.data = rd;
  rd->head_bytes = 0;
  rd->read_bytes = 0;
  rd->body_bytes = 0;
  rd->last_byte = '\0';
  rd->status_line_read = STATUS_LINE_BYTES;
  rd->pause = PAUSE_NONE;
  rd->next = NEXT_ANY;
  rd->is_malformed = false;
  rd->too_large = false;
  rd->in_value = false;
  rd->head_done = false;
  rd->started = false;
  rd->complete = false;
  rd->no_body = false;
  g_string_truncate (rd->target, 0);
  g_string_truncate (rd->name, 0);
  g_string_truncate (rd->value, 0);
  hdr_reset (&rd->head.fields);
}

static bool
matches_form (char form, char byte)
{
  switch (form)
    {
    case 'D':
      return g_ascii_isdigit (byte);
    case 'N':
      return !g_ascii_isdigit (byte);
    default:
      return byte == form;
    }
}

/* Checks the part of BYTES that belongs to the start of a status line.
   Returns whether it has the right form.  */
static bool
check_status_line (rd_t *rd, const char *bytes, size_t length)
{
  for (size_t i = 0; i < length && rd->status_line_read < STATUS_LINE_BYTES;
       i++)
    if (!matches_form (STATUS_LINE[rd->status_line_read++], bytes[i]))
      return false;
  return true;
}

/* Parses BYTES up to a pause or the end of the message.  Returns the number of
   bytes read.  */
static size_t
parse_part (rd_t *rd, const char *bytes, size_t length)
{
  size_t done;

  rd->is_malformed |= !check_status_line (rd, bytes, length);
  if (rd->is_malformed)
    return 0;
  rd->pause = PAUSE_NONE;
  rd->unchecked = bytes;
  done = http_parser_execute (&rd->parser, &callbacks, bytes, length);
  check_line_ends (rd, bytes + done);
  return done;
}

/* Parses BYTES up to the end of the message.  Returns the number of bytes
   read.  */
static size_t
parse (rd_t *rd, const char *bytes, size_t length)
{
  size_t done = 0;

  rd->fed = bytes;
  while (done < length && !rd->is_malformed)
    {
      done += parse_part (rd, bytes + done, length - done);
      if (rd->is_malformed || rd->pause == PAUSE_NONE)
        break;
      http_parser_pause (&rd->parser, 0);
      if (rd->pause == PAUSE_AFTER_HEAD)
        rd->is_malformed
            = bytes[done] != '\n' || !rd->ops->head (rd->user, &rd->head);
    }
  rd->last_byte = find_byte_before (rd, bytes + done);
  return done;
}

rd_result_t
rd_feed (rd_t *rd, const char *bytes, size_t length, size_t *used)
{
  *used = parse (rd, bytes, length);
  rd->read_bytes += *used;
  if (rd->is_malformed)
    return RD_INVALID;
  if (rd->complete)
    return RD_COMPLETE;
  if (rd->too_large || is_excessive (rd))
    return RD_TOO_LARGE;
  if (HTTP_PARSER_ERRNO (&rd->parser) != HPE_OK)
    return RD_INVALID;
  return RD_INCOMPLETE;
}

rd_result_t
rd_finish (rd_t *rd)
{
  if (rd->is_malformed)
    return RD_INVALID;
  http_parser_execute (&rd->parser, &callbacks, NULL, 0);
  return rd->complete ? RD_COMPLETE : RD_INVALID;
}

bool
rd_is_idle (const rd_t *rd)
{
  return !rd->started;
}

void
rd_expect_no_body (rd_t *rd, bool none)
{
  rd->no_body = none;
}

size_t
rd_get_head_bytes (const rd_t *rd)
{
  return rd->head_bytes;
}

rd_head_t *
rd_get_head (rd_t *rd)
{
  return &rd->head;
}
