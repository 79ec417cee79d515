package org.cornelway.platform.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that an announcement that cannot be used names no server. */
public class OddAnnouncementTest {
    private static final String FIELDS =
            "\"Service\":\"s\",\"State\":\"ready\",\"born\":1,\"Seq\":2";
    private static final String ADDRESS = "\"Address\":\"1.2.3.4:80\"";

    private static String announcement(String address, String more) {
        return "{" + FIELDS + ",\"Address\":\"" + address + "\"" + more + "}";
    }

    @Test
    public void usualAnnouncementNamesItsServer() {
        String text = announcement("1.2.3.4:80", ",\"Slots\":8");
        assertThat(new WireServerDecoder().decode("i-1", text.getBytes())).isPresent();
    }

    /** Texts of announcements that other writers may leave. */
    @DataProvider
    public static Object[][] odd() {
        String deep = "[".repeat(100_000) + "]".repeat(100_000);
        String large = "9".repeat(50_000);
        return new Object[][] {
            {"nesting", announcement("1.2.3.4:80", ",\"Models\":" + deep)},
            {"open nesting", announcement("1.2.3.4:80", ",\"Models\":" + "{\"a\":".repeat(50_000))},
            {"long number", announcement("1.2.3.4:80", ",\"Slots\":" + large)},
            {"large number of slots", announcement("1.2.3.4:80", ",\"Slots\":99999999999")},
            {"exponent", announcement("1.2.3.4:80", ",\"Slots\":1e999999999")},
            {
                "large start",
                announcement("1.2.3.4:80", "").replace(":1,", ":99999999999999999999,")
            },
            {"large sequence", announcement("1.2.3.4:80", "").replace(":2,", ":1e400,")},
            {"port", announcement("1.2.3.4:70000", "")},
            {"long port", announcement("1.2.3.4:99999999999999", "")},
            {"negative port", announcement("1.2.3.4:-1", "")},
            {"no port", announcement("1.2.3.4:", "")},
            {"host name", announcement("a-host.example:80", "")},
            {"malformed host", announcement("999.1.2.3:80", "")},
            {"line break in host", announcement("1.2.3.4\\r\\nX: y:80", "")},
            {"list", "[" + announcement("1.2.3.4:80", "") + "]"},
            {"nothing", ""},
        };
    }

    @Test(dataProvider = "odd")
    public void oddAnnouncementNamesNoServer(String name, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        assertThat(new WireServerDecoder().decode("i-1", bytes)).as(name).isEmpty();
    }

    /** Guards against an id that cannot be sent in a header. */
    @Test
    public void idThatIsNoHeaderValueNamesNoServer() {
        byte[] text = ("{" + FIELDS + "," + ADDRESS + "}").getBytes(StandardCharsets.UTF_8);
        for (String id :
                new String[] {"", "i\r\nX: y", "i\u0000", "i-\u00fc", "a b", "i".repeat(300)}) {
            assertThat(new WireServerDecoder().decode(id, text)).as(id).isEmpty();
        }
    }
}
