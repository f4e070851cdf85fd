#include "base/jsn.h"

#include "base/err.h"
#include <string.h>

/* Returns the index of the character after the string that starts at START, or
   LENGTH.  */
static size_t
skip_string (const char *text, size_t length, size_t start)
{
  for (size_t i = start + 1; i < length; i++)
    {
      if (text[i] == '"')
        return i + 1;
      if (text[i] == '\\')
        i++;
    }
  return length;
}

bool
jsn_is_shallow (const char *text, size_t length)
{
  unsigned depth = 0;
  size_t i = 0;

  while (i < length)
    switch (text[i])
      {
      case '"':
        i = skip_string (text, length, i);
        break;
      case '[':
      case '{':
        if (++depth > JSN_MAX_DEPTH)
          return false;
        i++;
        break;
      case ']':
      case '}':
        depth -= depth > 0;
        i++;
        break;
      /* The parser also reads comments and strings in single quotes, which
         could hide the brackets after them.  */
      case '/':
      case '#':
      case '\'':
        return false;
      default:
        i++;
      }
  return true;
}

bool
jsn_load (JsonParser *parser, const char *text, size_t length, GError **error)
{
  if (!jsn_is_shallow (text, length))
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_LIMIT,
                   "the JSON text is nested deeper than %u levels or has "
                   "comments; send it flatter and without them",
                   JSN_MAX_DEPTH);
      return false;
    }
  return json_parser_load_from_data (parser, text, (gssize)length, error);
}

JsonNode *
jsn_parse (const char *text, GError **error)
{
  g_autoptr (JsonParser) parser = json_parser_new ();

  if (!jsn_load (parser, text, strlen (text), error))
    return NULL;
  return json_parser_steal_root (parser);
}
