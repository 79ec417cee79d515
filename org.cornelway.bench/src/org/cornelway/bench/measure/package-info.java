/** Trials in virtual time that compare policies by the users' measures. */
package org.cornelway.bench.measure;
