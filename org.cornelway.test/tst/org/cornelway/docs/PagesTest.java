package org.cornelway.docs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import org.cornelway.RepositoryFiles;
import org.cornelway.pgm.SettingsPage;
import org.cornelway.result.ResultCode;
import org.testng.annotations.Test;

/** Checks that the documentation pages list every result code, setting and required term. */
public final class PagesTest {
    @Test
    public void resultCodesPageListsEveryCode() {
        String page = RepositoryFiles.read("docs/RESULT-CODES.md");
        for (ResultCode code : ResultCode.values()) {
            String row =
                    String.format(
                            "| %d | %s | %d | %s | %s |",
                            code.number(),
                            code.name(),
                            code.httpStatus(),
                            code.executionState(),
                            code.description());
            assertThat(page).contains(row);
        }
        assertThat(page.lines().filter(line -> line.matches("\\| \\d+ \\|.*")))
                .hasSameSizeAs(Arrays.asList(ResultCode.values()));
    }

    @Test
    public void settingsPageIsUpToDate() {
        assertThat(RepositoryFiles.read("docs/SETTINGS.md")).isEqualTo(SettingsPage.generate());
    }

    @Test
    public void glossaryDefinesEveryRequiredTerm() {
        String page = RepositoryFiles.read("docs/GLOSSARY.md");
        List<String> terms =
                List.of("instance", "availability zone", "caller", "backend server", "preset");
        assertThat(terms).allSatisfy(term -> assertThat(page).contains("| " + term + " |"));
    }
}
