import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON into maps, lists, strings, numbers (double) and booleans. Stateless. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private char next() {
        while (Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
        return mText.charAt(mAt);
    }

    private Object value() {
        switch (next()) {
            case '{':
                return members();
            case '[':
                return elements();
            case '"':
                return string();
            default:
                return literal();
        }
    }

    private Map<String, Object> members() {
        Map<String, Object> members = new LinkedHashMap<>();
        mAt++;
        while (next() != '}') {
            if (next() == ',') {
                mAt++;
                next();
            }
            String name = string();
            next();
            mAt++;
            members.put(name, value());
        }
        mAt++;
        return members;
    }

    private List<Object> elements() {
        List<Object> elements = new ArrayList<>();
        mAt++;
        while (next() != ']') {
            if (next() == ',') {
                mAt++;
            }
            elements.add(value());
        }
        mAt++;
        return elements;
    }

    private String string() {
        StringBuilder text = new StringBuilder();
        mAt++;
        while (mText.charAt(mAt) != '"') {
            char c = mText.charAt(mAt++);
            if (c == '\\') {
                c = mText.charAt(mAt++);
                if (c == 'u') {
                    c = (char) Integer.parseInt(mText.substring(mAt, mAt + 4), 16);
                    mAt += 4;
                } else if (c == 'n') {
                    c = '\n';
                }
            }
            text.append(c);
        }
        mAt++;
        return text.toString();
    }

    private Object literal() {
        int start = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(start, mAt);
        switch (word) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                return Double.parseDouble(word);
        }
    }
}
