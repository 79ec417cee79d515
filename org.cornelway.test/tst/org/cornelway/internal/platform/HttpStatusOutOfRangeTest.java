package org.cornelway.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import org.cornelway.ScriptedServer;
import org.cornelway.ScriptedServer.Close;
import org.cornelway.platform.PlainCall;
import org.cornelway.platform.PlainResponse;
import org.cornelway.result.Refusal;
import org.cornelway.result.Result;
import org.cornelway.result.ResultCode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that an agent passes on no response whose status HTTP does not define. */
public class HttpStatusOutOfRangeTest {
    private static final long TIMEOUT_MILLIS = 8_000;

    private Vertx mVertx;
    private ScriptedServer mServer;

    @BeforeMethod
    public void start() throws IOException {
        mVertx = Vertx.vertx();
        mServer = new ScriptedServer();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mServer.close();
        mVertx.close().await();
    }

    @DataProvider
    public Object[][] statuses() {
        return new Object[][] {{"000"}, {"099"}, {"600"}, {"999"}};
    }

    /** Guards against passing on such a status; the call may have run. */
    @Test(dataProvider = "statuses")
    public void outcomeIsUnknown(String status) {
        String bytes = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\n{}";
        mServer.setAnswer(new ScriptedServer.Answer(bytes, Close.FIN, 0));
        HttpEndpoint endpoint = new HttpEndpoint("127.0.0.1", mServer.port());
        Result<PlainResponse> result =
                new HttpPlainService(mVertx, endpoint, TIMEOUT_MILLIS)
                        .call(new PlainCall("id", "POST", "/a", "", new byte[0], ""))
                        .blockingGet();
        assertThat(result.failure().map(Refusal::code)).contains(ResultCode.OUTCOME_UNKNOWN);
    }
}
