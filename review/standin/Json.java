import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the few JSON bodies that an instance sends to the store and to the failover endpoint. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        char first = next();
        if (first == '{') return map();
        if (first == '[') return list();
        if (first == '"') return string();
        int from = at;
        while (at < text.length() && "+-.0123456789Eaeflnrstu".indexOf(text.charAt(at)) >= 0) at++;
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> (long) Double.parseDouble(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            if (text.charAt(at) == ',') at++;
            next();
            String key = string();
            next();
            at++;
            map.put(key, value());
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        while (next() != ']') {
            if (text.charAt(at) == ',') at++;
            else list.add(value());
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder built = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                built.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> built.append('\n');
                case 't' -> built.append('\t');
                case 'r' -> built.append('\r');
                case 'u' -> {
                    built.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> built.append(escaped);
            }
        }
        at++;
        return built.toString();
    }
}
