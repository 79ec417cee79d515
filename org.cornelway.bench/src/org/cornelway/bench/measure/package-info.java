/** Trials in virtual time that compare policies by the users' performance measures. */
package org.cornelway.bench.measure;
