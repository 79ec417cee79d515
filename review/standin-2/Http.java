import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A request or response in HTTP/1.1. The first line is kept as it came. */
record Http(String firstLine, Map<String, String> headers, byte[] body) {
    /** Reads a message; returns null if the channel ends before its first byte. */
    static Http read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !"".equals(line); line = line(in)) {
            if (line == null) {
                throw new EOFException("channel ended within a head");
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        byte[] body;
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            body = chunks(in);
        } else {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("channel ended within a body");
            }
        }
        return new Http(first, headers, body);
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException("channel ended within a body");
            }
            int length = Integer.parseInt(size.trim(), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length || line(in) == null) {
                throw new EOFException("channel ended within a chunk");
            }
            if (length == 0) {
                return body.toByteArray();
            }
            body.write(chunk);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("channel ended within a line");
            }
            if (c == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(c);
        }
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String word(int index) {
        return firstLine.split(" ")[index];
    }

    int status() {
        return Integer.parseInt(word(1));
    }
}
